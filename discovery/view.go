package discovery

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/banksail/banksail/mechanism"
)

// State is the state that a server reports about itself.
type State int

const (
	// Ready servers accept new work.
	Ready State = iota
	// Draining servers must not be sent new work.
	Draining
)

// Server is one incarnation of a server.
type Server struct {
	// ID identifies the server; together with Born it identifies the incarnation.
	ID      string
	Service string
	Address string
	Zone    string
	// Version is the software version that the server runs.
	Version string
	// Born is the start time that the server reports, in milliseconds of Unix time; zero is unknown.
	Born int64
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	State State
	// ColdFor is the remaining time for which the server is slow because it has just started.
	ColdFor time.Duration
}

// Node is a live node of the query tier.
type Node struct {
	ID string
	// Address is the endpoint for callers, Peer the one for other nodes, and Gossip the
	// one for datagrams from other nodes.
	Address string
	Peer    string
	Gossip  string
	Zone    string
	Region  string
	// Capacity is the node's CPU capacity in cores; zero is unknown.
	Capacity float64
	// Busy nodes are overloaded; other nodes should take over part of their work.
	Busy bool
	// Unable nodes cannot reach enough servers to serve callers, while other nodes can.
	Unable bool
	// Leaving nodes finish their requests in flight and are not advertised to callers.
	Leaving bool
	// Suspect nodes do not answer other nodes; the suspicion may be wrong for a short time.
	Suspect bool
}

// entry is a registry entry with the position of its latest update.
type entry[T any] struct {
	value    T
	position Position
	// retained is set when the entry was removed but is still used until retainedUntil.
	retained      bool
	retainedUntil time.Duration
}

// Options configures a View. Zero fields get defaults.
type Options struct {
	// OutageAfter is the time without contact to the registry after which the removal of an
	// entry no longer proves that its owner has left: the owner may have been unable to renew
	// it. Default 1.5 s.
	OutageAfter time.Duration
	// RemovalGrace is how long after the registry's return removed entries of servers are still
	// used: a live owner has written its entry again by then. Default 2 s.
	RemovalGrace time.Duration
	// NodeRemovalGrace is how long removed entries of nodes are still used after an outage,
	// counted from their removal. It is longer because nodes must register again first, and
	// because no staleness bound depends on it. Default 6 s.
	NodeRemovalGrace time.Duration
	// RestoreGrace is how long after the registry was restored from a backup earlier knowledge
	// about servers takes precedence over the backup: the entry of a server that had left has
	// expired by then. Default 5 s.
	RestoreGrace time.Duration
	// DirectiveGrace is how long after a restore the operator's directives that the backup
	// lacks are retained, so that their author can write them again. Default 10 s.
	DirectiveGrace time.Duration
	// Disabled lists the mechanisms that are switched off, for diagnosis.
	Disabled mechanism.Disabled
}

// Default values of Options.
const (
	DefaultOutageAfter  = 1500 * time.Millisecond
	DefaultRemovalGrace = 2 * time.Second

	DefaultNodeRemovalGrace = 6 * time.Second
	DefaultRestoreGrace     = 5 * time.Second
	DefaultDirectiveGrace   = 10 * time.Second
)

// View is a node's view of the registry. It is not safe for concurrent use.
type View struct {
	options    Options
	servers    map[string]*entry[Server]
	nodes      map[string]*entry[Node]
	directives directives
	restored   restoreState

	synced   bool
	syncedAt time.Duration
	// retainUntil is the time until which removed entries are retained. It counts from the
	// registry's return rather than from the removal, so that entries removed later are
	// retained for less time, and no entry is used for longer than the time to detect the
	// return plus RemovalGrace.
	retainUntil time.Duration
	// firstSyncedAt is the time of the first sync with the registry.
	firstSyncedAt time.Duration
}

// NewView returns an empty View.
func NewView(options Options) *View {
	options.OutageAfter = cmp.Or(options.OutageAfter, DefaultOutageAfter)
	options.RemovalGrace = cmp.Or(options.RemovalGrace, DefaultRemovalGrace)
	options.NodeRemovalGrace = cmp.Or(options.NodeRemovalGrace, DefaultNodeRemovalGrace)
	options.RestoreGrace = cmp.Or(options.RestoreGrace, DefaultRestoreGrace)
	options.DirectiveGrace = cmp.Or(options.DirectiveGrace, DefaultDirectiveGrace)
	return &View{
		options:    options,
		servers:    make(map[string]*entry[Server]),
		nodes:      make(map[string]*entry[Node]),
		directives: make(directives),
		restored:   newRestoreState(),
	}
}

// RecordResponse records that the registry answered at now. If that ends an outage, entries
// removed in the meantime are retained for a grace period. The age of the view is unchanged.
func (v *View) RecordResponse(now time.Duration) {
	if v.synced && now-v.syncedAt > v.options.OutageAfter && v.options.Disabled.Enabled(mechanism.OutageRetention) {
		v.retainUntil = now + v.options.RemovalGrace
	}
}

// RecordSync records that the registry answered at now with all changes up to then.
func (v *View) RecordSync(now time.Duration) {
	v.RecordResponse(now)
	v.RecordContinuousSync(now)
}

// RecordContinuousSync records a sync by a node that was in contact with the registry without
// a gap, so that removals are certain and need no grace period.
func (v *View) RecordContinuousSync(now time.Duration) {
	if !v.synced {
		v.firstSyncedAt, v.syncedAt = now, now // may precede this node's start if another node synced
	}
	v.synced = true
	v.syncedAt = max(v.syncedAt, now)
}

// Continuous reports whether contact with the registry has lasted without a gap for long
// enough that removals are certain: neither an outage nor the start of this node, before
// which the registry may have been unavailable, is within the grace period.
func (v *View) Continuous(now time.Duration) bool {
	return v.synced && now >= v.retainUntil && now-v.syncedAt <= v.options.OutageAfter && now-v.firstSyncedAt >= v.options.RemovalGrace
}

// Age returns the time since the last sync with the registry; ok is false if there was none.
func (v *View) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - v.syncedAt, v.synced
}

// PutServer stores the entry of a server, received at now. Entries with an older position
// than the known one are ignored.
func (v *View) PutServer(now time.Duration, server Server, position Position) {
	known := v.servers[server.ID]
	if known != nil && position.Before(known.position) {
		return
	}
	if v.maybeFromBackup(now, position) {
		if known == nil && v.restored.hasDeparted(server) {
			v.restored.servers[server.ID] = server
			return
		}
		if known != nil && wouldUndoDrain(known.value, server) {
			v.restored.servers[server.ID] = server
			server = known.value
		}
	} else {
		delete(v.restored.servers, server.ID)
	}
	put(v.servers, server.ID, server, position)
}

// PutNode stores the entry of a node; entries with an older position than the known one are
// ignored. A node replaces any node that registered earlier at the same address: two live
// processes cannot listen on one address, and an entry outlives its process.
func (v *View) PutNode(node Node, position Position) {
	for id, known := range v.nodes {
		if id == node.ID || node.Address == "" || known.value.Address != node.Address {
			continue
		}
		if position.Before(known.position) {
			return
		}
		delete(v.nodes, id)
	}
	put(v.nodes, node.ID, node, position)
}

func put[T any](entries map[string]*entry[T], id string, value T, position Position) {
	if known := entries[id]; known != nil && position.Before(known.position) {
		return
	}
	entries[id] = &entry[T]{value: value, position: position}
}

// RemoveServer records that the entry of a server was removed.
func (v *View) RemoveServer(now time.Duration, id string, position Position) {
	delete(v.restored.servers, id)
	known := v.servers[id]
	remove(v, v.servers, now, v.retainUntil, id, position)
	if known != nil && v.servers[id] == nil {
		v.restored.recordDeparted(now, known.value)
	}
}

// RemoveNode records that the entry of a node was removed.
func (v *View) RemoveNode(now time.Duration, id string, position Position) {
	remove(v, v.nodes, now, now+v.options.NodeRemovalGrace, id, position)
}

// remove deletes an entry, or marks it as retained during the grace period.
func remove[T any](v *View, entries map[string]*entry[T], now, retainedUntil time.Duration, id string, position Position) {
	known := entries[id]
	if known == nil || position.Before(known.position) || known.retained {
		return
	}
	if now >= v.retainUntil {
		delete(entries, id)
		return
	}
	known.retained, known.retainedUntil = true, retainedUntil
}

// RetainServers applies a complete listing as of a position: servers that are not listed are
// removed, unless they were added later.
func (v *View) RetainServers(now time.Duration, listed map[string]struct{}, position Position) {
	retain(v.servers, listed, func(id string) { v.RemoveServer(now, id, position) })
	retain(v.restored.servers, listed, func(id string) { delete(v.restored.servers, id) })
}

// RetainNodes does the same for nodes.
func (v *View) RetainNodes(now time.Duration, listed map[string]struct{}, position Position) {
	retain(v.nodes, listed, func(id string) { v.RemoveNode(now, id, position) })
}

func retain[T any](entries map[string]T, listed map[string]struct{}, remove func(id string)) {
	for id := range entries {
		if _, kept := listed[id]; !kept {
			remove(id)
		}
	}
}

// Expire deletes retained entries whose grace period is over and applies the entries of a
// backup that were deferred.
func (v *View) Expire(now time.Duration) {
	for id, e := range v.servers {
		if e.retained && e.retainedUntil <= now {
			v.restored.recordDeparted(now, e.value)
			delete(v.servers, id)
		}
	}
	for id, e := range v.nodes {
		if e.retained && e.retainedUntil <= now {
			delete(v.nodes, id)
		}
	}
	v.directives.expire(now)
	v.applyDeferred(now)
}

// NextExpiry returns when Expire must be called next; ok is false if nothing is pending.
func (v *View) NextExpiry() (at time.Duration, ok bool) {
	at = min(nextExpiry(v.servers), nextExpiry(v.nodes), v.directives.nextExpiry())
	if len(v.restored.servers) > 0 {
		at = min(at, v.restored.until)
	}
	return at, at < math.MaxInt64
}

func nextExpiry[T any](entries map[string]*entry[T]) time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, e := range entries {
		if e.retained {
			next = min(next, e.retainedUntil)
		}
	}
	return next
}

// Servers returns the known servers, sorted by ID, including retained ones.
func (v *View) Servers() []Server { return list(v.servers, true, Server.key) }

// Nodes returns the known nodes, sorted by ID, including retained ones.
func (v *View) Nodes() []Node { return list(v.nodes, true, Node.key) }

// RegisteredServers returns the servers sorted by ID, without retained ones. Only these are
// published to other nodes: each node decides by itself which entries it retains.
func (v *View) RegisteredServers() []Server { return list(v.servers, false, Server.key) }

// RegisteredNodes returns the nodes sorted by ID, without retained ones.
func (v *View) RegisteredNodes() []Node { return list(v.nodes, false, Node.key) }

// SyncedAt returns the time of the last sync with the registry; ok is false if there was none.
func (v *View) SyncedAt() (at time.Duration, ok bool) { return v.syncedAt, v.synced }

func list[T any](entries map[string]*entry[T], includeRetained bool, key func(T) string) []T {
	compare := func(a, b T) int { return cmp.Compare(key(a), key(b)) }
	values := make([]T, 0, len(entries))
	for _, e := range entries {
		if includeRetained || !e.retained {
			values = append(values, e.value)
		}
	}
	slices.SortFunc(values, compare)
	return values
}
