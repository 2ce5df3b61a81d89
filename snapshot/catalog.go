package snapshot

import (
	"cmp"
	"slices"
)

// ID identifies an index snapshot. A higher one is newer; zero is none.
type ID uint64

// MaxSnapshotsPerServer bounds the snapshots that are remembered for one server; of more,
// the newest are kept.
const MaxSnapshotsPerServer = 16

// Group is a shard of the service.
type Group struct {
	// Keys is the number of keys that the group holds.
	Keys uint64
	// Servers names the replicas. A server may be in several groups.
	Servers []string
}

// Choice is a snapshot with what can be served of it.
type Choice struct {
	ID ID
	// Keys is the number of keys in groups that have a server for the snapshot.
	Keys uint64
	// Complete is true when every group has one.
	Complete bool
}

// Catalog knows the snapshots of one service's servers.
type Catalog struct {
	keys    []uint64
	servers map[string]*ServerSnapshots
	// counts are sorted by ID, the newest first, and have at least one holder.
	counts []*snapshotCounts
}

// entry counts the available holders of one snapshot.
type snapshotCounts struct {
	id             ID
	holdersByGroup []int32
	totalHolders   int
	keys           uint64
	servedGroups   int
}

// NewCatalog returns a Catalog without groups.
func NewCatalog() *Catalog {
	return &Catalog{servers: make(map[string]*ServerSnapshots)}
}

// Configure sets the groups. What is known of servers that remain is kept.
func (c *Catalog) Configure(groups []Group) {
	c.keys = c.keys[:0]
	c.counts = nil
	remaining := make(map[string]*ServerSnapshots, len(c.servers))
	var ordered []*ServerSnapshots
	for number, group := range groups {
		c.keys = append(c.keys, group.Keys)
		for _, name := range group.Servers {
			server, seen := remaining[name]
			if !seen {
				server = c.serverFor(name)
				remaining[name] = server
				ordered = append(ordered, server)
			}
			server.groups = append(server.groups, number)
		}
	}
	for name, server := range c.servers {
		if remaining[name] == nil {
			server.groups = nil
		}
	}
	c.servers = remaining
	for _, server := range ordered {
		server.updateCounts(1)
	}
}

// holder returns the known holder without its groups, or a new one.
func (c *Catalog) serverFor(name string) *ServerSnapshots {
	server := c.servers[name]
	if server == nil {
		server = &ServerSnapshots{catalog: c, available: true}
	}
	server.groups = server.groups[:0]
	return server
}

// ServerSnapshots returns what is known of a server; nil when it is in no group. The
// result has no effect on choices once the server is in no group.
func (c *Catalog) ServerSnapshots(name string) *ServerSnapshots {
	return c.servers[name]
}

// Choose returns the snapshot that can serve the most keys, the newest of those
// that can serve as many; so it is the newest that every group can serve, when
// there is one. Snapshots in except are passed over. ok is false when no
// available server is known to hold any.
func (c *Catalog) Choose(exclude ...ID) (choice Choice, ok bool) {
	for _, counts := range c.counts {
		if slices.Contains(exclude, counts.id) || counts.servedGroups == 0 {
			continue
		}
		if !ok || counts.keys > choice.Keys {
			choice = Choice{ID: counts.id, Keys: counts.keys, Complete: counts.servedGroups == len(c.keys)}
			ok = true
		}
		if choice.Complete {
			return choice, true
		}
	}
	return choice, ok
}

// countsFor returns the counts of a snapshot, made when they are new.
func (c *Catalog) countsFor(id ID) *snapshotCounts {
	i, found := slices.BinarySearchFunc(c.counts, id, newestFirst)
	if !found {
		counts := &snapshotCounts{id: id, holdersByGroup: make([]int32, len(c.keys))}
		c.counts = slices.Insert(c.counts, i, counts)
	}
	return c.counts[i]
}

// removeIfUnheld removes the counts of a snapshot that has no holder.
func (c *Catalog) removeIfUnheld(id ID) {
	i, found := slices.BinarySearchFunc(c.counts, id, newestFirst)
	if found && c.counts[i].totalHolders == 0 {
		c.counts = slices.Delete(c.counts, i, i+1)
	}
}

func newestFirst(counts *snapshotCounts, id ID) int {
	return cmp.Compare(id, counts.id)
}
