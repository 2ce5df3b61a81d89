package spread

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/banksail/banksail/policy"
)

// watcherHashKey is hashed with the member IDs to select the watchers of the
// store.
const watcherHashKey = policy.StoreKey

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// SelectWatchers returns the IDs of the members that watch the store. It
// selects one member from each of at most maximum zones, so that a zone that is
// the only one able to reach the store has a watcher. If this gives fewer than
// minimum members, others are added. The result does not depend on the order of
// members.
func SelectWatchers(members []Member, minimum, maximum int) []string {
	byZone := map[string][]string{}
	zones := []string{}
	for _, member := range members {
		if _, found := byZone[member.Zone]; !found {
			zones = append(zones, member.Zone)
		}
		byZone[member.Zone] = append(byZone[member.Zone], member.ID)
	}
	slices.Sort(zones)
	zones = highestRanked(zones, maximum)
	chosen := []string{}
	for _, zone := range zones {
		chosen = append(chosen, highestRanked(byZone[zone], 1)...)
	}
	others := []string{}
	for _, member := range members {
		if !slices.Contains(chosen, member.ID) {
			others = append(others, member.ID)
		}
	}
	return append(chosen, highestRanked(others, minimum-len(chosen))...)
}

// highestRanked returns up to count names with the highest rank by rendezvous
// hashing.
func highestRanked(names []string, count int) []string {
	left := slices.Sorted(slices.Values(names))
	ranked := []string{}
	for count > 0 && len(left) > 0 {
		// Rendezvous.Remove panics in this version of the library, so a new
		// instance is made for each look-up.
		first := rendezvous.New(left, hashID).Lookup(watcherHashKey)
		ranked = append(ranked, first)
		index, _ := slices.BinarySearch(left, first)
		left = slices.Delete(left, index, index+1)
		count--
	}
	return ranked
}

// handleMembersChanged replaces the member list. The watchers are selected
// again only if an ID or a zone has changed.
func (c *Core) handleMembersChanged(now time.Duration, members []Member) {
	next := make([]Member, 0, len(members))
	for _, member := range members {
		if member.ID != c.options.Self {
			next = append(next, member)
		}
	}
	slices.SortFunc(next, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	same := slices.EqualFunc(c.members, next, func(a, b Member) bool { return a.ID == b.ID && a.Zone == b.Zone })
	if same {
		c.updateMemberRevisions(now, next)
		return
	}
	c.members = next
	c.updateWatcherRole(now)
	c.updateMemberRevisions(now, next)
}

// updateMemberRevisions stores the revisions that membership reported.
func (c *Core) updateMemberRevisions(now time.Duration, next []Member) {
	for index := range next {
		c.members[index].Revision = next[index].Revision
		c.observeReportedRevision(now, next[index].Revision)
	}
}

// observeReportedRevision brings the next comparison forward if the reported
// revision is higher than all revisions known before.
func (c *Core) observeReportedRevision(now time.Duration, revision policy.Revision) {
	if revision <= max(c.revision, c.highestReported) {
		return
	}
	c.highestReported = revision
	c.nextComparison = min(c.nextComparison, now+c.jitter(reportedFetchDelay))
}

func (c *Core) updateWatcherRole(now time.Duration) {
	all := append(slices.Clone(c.members), Member{ID: c.options.Self, Zone: c.options.Zone})
	watchers := SelectWatchers(all, c.options.MinimumWatchers, c.options.MaximumWatchers)
	isWatcher := slices.Contains(watchers, c.options.Self)
	if isWatcher == c.isWatcher {
		return
	}
	c.isWatcher = isWatcher
	if !c.storeReadInFlight {
		c.nextStoreRead = now + c.storeReadDelay()
	}
}

// recordMemberRevision stores a revision that the member itself sent.
func (c *Core) recordMemberRevision(id string, revision policy.Revision) {
	index, found := slices.BinarySearchFunc(c.members, id, func(member Member, id string) int {
		return strings.Compare(member.ID, id)
	})
	if found {
		c.members[index].Revision = revision
	}
}
