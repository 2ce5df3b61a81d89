package spread

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/banksail/banksail/policy"
)

// watcherHashKey is hashed with the members' IDs to choose the store's watchers.
const watcherHashKey = policy.StoreKey

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// SelectWatchers chooses the nodes that watch the store: one in each zone, so that
// a zone that alone can reach the store has one, at most maximum; when there
// are fewer zones than minimum, others are added. The order of members does
// not matter.
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

// highestRanked returns the names that rank highest by rendezvous hashing.
func highestRanked(names []string, count int) []string {
	left := slices.Sorted(slices.Values(names))
	ranked := []string{}
	for count > 0 && len(left) > 0 {
		// Rendezvous.Remove panics in the library's version, hence a new one each time.
		first := rendezvous.New(left, hashID).Lookup(watcherHashKey)
		ranked = append(ranked, first)
		index, _ := slices.BinarySearch(left, first)
		left = slices.Delete(left, index, index+1)
		count--
	}
	return ranked
}

// handleMembersChanged takes the new member set; the choice of watchers is made
// anew only when an ID or a zone changed.
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

// updateMemberRevisions takes the revisions that membership heard.
func (c *Core) updateMemberRevisions(now time.Duration, next []Member) {
	for index := range next {
		c.members[index].Revision = next[index].Revision
		c.observeReportedRevision(now, next[index].Revision)
	}
}

// observeReportedRevision brings the next comparison forward when a revision above all
// others is heard of.
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

// recordMemberRevision notes the revision that a member itself told.
func (c *Core) recordMemberRevision(id string, revision policy.Revision) {
	index, found := slices.BinarySearchFunc(c.members, id, func(member Member, id string) int {
		return strings.Compare(member.ID, id)
	})
	if found {
		c.members[index].Revision = revision
	}
}
