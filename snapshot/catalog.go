package snapshot

import (
	"cmp"
	"slices"
)

// ID identifies an index snapshot. A higher ID is newer; zero means no
// snapshot.
type ID uint64

// MaxSnapshotsPerServer is the maximum number of snapshots that are tracked per
// server. If a server reports more, the newest are kept.
const MaxSnapshotsPerServer = 16

// Group is a shard of the service.
type Group struct {
	// Keys is the number of keys in the group.
	Keys uint64
	// Servers lists the names of the replicas. A server may be in several
	// groups.
	Servers []string
}

// Choice is a chosen snapshot and how much of the service it can serve.
type Choice struct {
	ID ID
	// Keys is the number of keys in the groups that have an available server
	// with the snapshot.
	Keys uint64
	// Complete reports whether every group has an available server with the
	// snapshot.
	Complete bool
}

// Catalog tracks the snapshots of the servers of one service.
type Catalog struct {
	// keys is the number of keys in each group.
	keys    []uint64
	servers map[string]*ServerSnapshots
	// counts is sorted by ID, newest first. Every element has at least one
	// available holder.
	counts []*snapshotCounts
}

// snapshotCounts counts the available holders of one snapshot. keys is the
// number of keys in the served groups, which have at least one holder.
// totalHolders counts a server once for each of its groups.
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

// Configure replaces the groups. What is known about servers that remain in a
// group is kept.
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

// serverFor returns the tracked server with its groups cleared, or a new one.
func (c *Catalog) serverFor(name string) *ServerSnapshots {
	server := c.servers[name]
	if server == nil {
		server = &ServerSnapshots{catalog: c, available: true}
	}
	server.groups = server.groups[:0]
	return server
}

// ServerSnapshots returns what is known about a server, or nil if it is in no
// group. After the server has left all groups, the result no longer affects
// choices.
func (c *Catalog) ServerSnapshots(name string) *ServerSnapshots {
	return c.servers[name]
}

// Choose returns the snapshot that can serve the most keys, and the newest of
// those that can serve equally many. If any snapshot can be served by every
// group, the result is therefore the newest such snapshot. Snapshots in exclude
// are skipped. ok is false if no available server is known to hold any other
// snapshot.
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

// countsFor returns the counts of a snapshot and creates them if necessary.
func (c *Catalog) countsFor(id ID) *snapshotCounts {
	i, found := slices.BinarySearchFunc(c.counts, id, newestFirst)
	if !found {
		counts := &snapshotCounts{id: id, holdersByGroup: make([]int32, len(c.keys))}
		c.counts = slices.Insert(c.counts, i, counts)
	}
	return c.counts[i]
}

// removeIfUnheld removes the counts of a snapshot that no available server
// holds.
func (c *Catalog) removeIfUnheld(id ID) {
	i, found := slices.BinarySearchFunc(c.counts, id, newestFirst)
	if found && c.counts[i].totalHolders == 0 {
		c.counts = slices.Delete(c.counts, i, i+1)
	}
}

// newestFirst compares counts with an ID, in the order of Catalog.counts.
func newestFirst(counts *snapshotCounts, id ID) int {
	return cmp.Compare(id, counts.id)
}
