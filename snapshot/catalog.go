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
	holders map[string]*Server
	// entries are sorted by ID, the newest first, and have at least one holder.
	entries []*entry
}

// entry counts the available holders of one snapshot.
type entry struct {
	id      ID
	holders []int32 // by group
	total   int
	keys    uint64
	served  int
}

// NewCatalog returns a Catalog without groups.
func NewCatalog() *Catalog {
	return &Catalog{holders: make(map[string]*Server)}
}

// Configure sets the groups. What is known of servers that remain is kept.
func (c *Catalog) Configure(groups []Group) {
	c.keys = c.keys[:0]
	c.entries = nil
	remaining := make(map[string]*Server, len(c.holders))
	var order []*Server
	for number, group := range groups {
		c.keys = append(c.keys, group.Keys)
		for _, name := range group.Servers {
			holder, seen := remaining[name]
			if !seen {
				holder = c.holder(name)
				remaining[name] = holder
				order = append(order, holder)
			}
			holder.groups = append(holder.groups, number)
		}
	}
	for name, holder := range c.holders {
		if remaining[name] == nil {
			holder.groups = nil
		}
	}
	c.holders = remaining
	for _, holder := range order {
		holder.countAll(1)
	}
}

// holder returns the known holder without its groups, or a new one.
func (c *Catalog) holder(name string) *Server {
	holder := c.holders[name]
	if holder == nil {
		holder = &Server{catalog: c, available: true}
	}
	holder.groups = holder.groups[:0]
	return holder
}

// Server returns what is known of a server; nil when it is in no group. The
// result has no effect on choices once the server is in no group.
func (c *Catalog) Server(server string) *Server {
	return c.holders[server]
}

// Choose returns the snapshot that can serve the most keys, the newest of those
// that can serve as many; so it is the newest that every group can serve, when
// there is one. Snapshots in except are passed over. ok is false when no
// available server is known to hold any.
func (c *Catalog) Choose(except ...ID) (choice Choice, ok bool) {
	for _, e := range c.entries {
		if slices.Contains(except, e.id) || e.served == 0 {
			continue
		}
		if !ok || e.keys > choice.Keys {
			choice = Choice{ID: e.id, Keys: e.keys, Complete: e.served == len(c.keys)}
			ok = true
		}
		if choice.Complete {
			return choice, true
		}
	}
	return choice, ok
}

// entry returns the counts of a snapshot, made when they are new.
func (c *Catalog) entry(id ID) *entry {
	i, found := slices.BinarySearchFunc(c.entries, id, newestFirst)
	if !found {
		e := &entry{id: id, holders: make([]int32, len(c.keys))}
		c.entries = slices.Insert(c.entries, i, e)
	}
	return c.entries[i]
}

// drop removes the counts of a snapshot that has no holder.
func (c *Catalog) drop(id ID) {
	i, found := slices.BinarySearchFunc(c.entries, id, newestFirst)
	if found && c.entries[i].total == 0 {
		c.entries = slices.Delete(c.entries, i, i+1)
	}
}

func newestFirst(e *entry, id ID) int {
	return cmp.Compare(id, e.id)
}
