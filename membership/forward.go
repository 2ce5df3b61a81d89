package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ForwardOwners returns the nodes through which the requester reaches a server to which
// it owns no connection, in order of preference: owners in the requester's zone first,
// then by a rendezvous order specific to the requester, which spreads requesters over
// the owners. The requester and owners that are not live are omitted. nodes must be the
// same as for OwnerShare.
func ForwardOwners(requester Member, server ServerSpec, nodes []Member) []Member {
	byID := make(map[string]*Member, OwnersPerServer)
	owners := Owners(server, nodes)
	for _, owner := range owners {
		byID[owner.ID] = nil
	}
	for index := range nodes {
		if _, owns := byID[nodes[index].ID]; owns {
			byID[nodes[index].ID] = &nodes[index]
		}
	}
	var ranked []forwardOwner
	for _, owner := range owners {
		member := byID[owner.ID]
		if member.ID == requester.ID || member.State != Live {
			continue
		}
		ranked = append(ranked, forwardOwner{
			member:    *member,
			otherZone: member.Zone != requester.Zone,
			weight:    xxhash.Sum64String(server.ID + "\x00" + requester.ID + "\x00" + member.ID),
		})
	}
	slices.SortFunc(ranked, compareForwardOwners)
	members := make([]Member, 0, len(ranked))
	for _, owner := range ranked {
		members = append(members, owner.member)
	}
	return members
}

// forwardOwner is an owner with its sort keys for one requester.
type forwardOwner struct {
	member    Member
	otherZone bool
	weight    uint64
}

func compareForwardOwners(x, y forwardOwner) int {
	if x.otherZone != y.otherZone {
		if y.otherZone {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.member.ID, y.member.ID))
}
