package membership_test

import (
	"slices"
	"testing"

	"github.com/banksail/banksail/membership"
)

func ownerIDs(server membership.ServerSpec, nodes []membership.Member) []string {
	var ids []string
	for _, owner := range membership.Owners(server, nodes) {
		ids = append(ids, owner.ID)
	}
	return ids
}

func TestForwardOwnersPreferOwnZone(t *testing.T) {
	nodes := makeNodes(30)
	for server := range 50 {
		spec := spec(server, 20)
		owners := ownerIDs(spec, nodes)
		for _, requester := range nodes {
			chosen := membership.ForwardOwners(requester, spec, nodes)
			away := false
			for _, owner := range chosen {
				if owner.ID == requester.ID || !slices.Contains(owners, owner.ID) {
					t.Fatalf("%s may not forward to %s", requester.ID, owner.ID)
				}
				if near := owner.Zone == requester.Zone; near && away {
					t.Fatalf("%s in the requester's zone is ranked after an owner in another zone", owner.ID)
				}
				away = away || owner.Zone != requester.Zone
			}
			if want := len(owners); !slices.Contains(owners, requester.ID) && len(chosen) != want {
				t.Fatalf("%d owners to choose from, want %d", len(chosen), want)
			}
		}
	}
}

func TestForwardOwnersExcludeSuspects(t *testing.T) {
	nodes := makeNodes(30)
	spec := spec(1, 20)
	first := membership.ForwardOwners(membership.Member{ID: "requester"}, spec, nodes)[0]
	for index := range nodes {
		if nodes[index].ID == first.ID {
			nodes[index].State = membership.Suspect
		}
	}
	for _, owner := range membership.ForwardOwners(membership.Member{ID: "requester"}, spec, nodes) {
		if owner.ID == first.ID {
			t.Errorf("%s is suspect", owner.ID)
		}
	}
}

// The requesters of a zone are spread evenly over the owners in it.
func TestForwardOwnersSpreadLoad(t *testing.T) {
	nodes := makeNodes(1400)
	spec := spec(1, 70)
	load := make(map[string]int)
	requesters := 0
	owners := ownerIDs(spec, nodes)
	for _, requester := range nodes {
		if !slices.Contains(owners, requester.ID) {
			requesters++
			load[membership.ForwardOwners(requester, spec, nodes)[0].ID]++
		}
	}
	for id, count := range load {
		if mean := requesters / membership.OwnersPerServer; count > 2*mean || count < mean/2 {
			t.Errorf("%s is the first choice of %d requesters, the mean is %d", id, count, mean)
		}
	}
}
