package discovery

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/banksail/banksail/mechanism"
)

// State is what a server says of itself.
type State int

const (
	// Ready servers take new work.
	Ready State = iota
	// Draining servers must get no new work.
	Draining
)

// Server is one incarnation of a server.
type Server struct {
	// ID names the server; with Born it names the incarnation.
	ID      string
	Service string
	Address string
	Zone    string
	// Version is that of its software.
	Version string
	// Born is when it started, in milliseconds of Unix time as it tells; zero is unknown.
	Born int64
	// Slots is the number of requests that it works on at a time.
	Slots int
	State State
	// ColdFor is how much longer it is slow from its start.
	ColdFor time.Duration
}

// Node is one live node.
type Node struct {
	ID string
	// Address is where callers reach it, Peer where other nodes do, and Gossip where
	// it takes datagrams of other nodes.
	Address string
	Peer    string
	Gossip  string
	Zone    string
	Region  string
	// Capacity is the node's processor capacity, in cores; zero is unknown.
	Capacity float64
	// Busy nodes have so much to do that others should help.
	Busy bool
	// Unable nodes can't reach enough servers to serve callers; others can.
	Unable bool
	// Leaving nodes finish what they have and are given to no caller.
	Leaving bool
	// Suspect nodes do not answer other nodes, which may be wrong for a moment.
	Suspect bool
}

// entry is an item with the position of the last word on it.
type entry[T any] struct {
	value    T
	position Position
	// retained says that the entry went and is kept all the same, until keptUntil.
	retained      bool
	retainedUntil time.Duration
}

// Options sets up a View. Zero fields get defaults.
type Options struct {
	// OutageAfter is the time without a word from the registry after which
	// entries that go are not proof that their owners left: those could not
	// renew them. Default 1.5 s.
	OutageAfter time.Duration
	// RemovalGrace is how long after the registry's return such entries of servers
	// are still used: an owner that lives has written its entry again by then.
	// Default 2 s.
	RemovalGrace time.Duration
	// NodeRemovalGrace is how long such entries of nodes, which must be registered
	// anew first, are still used after they went; no bound rests on them. Default 6 s.
	NodeRemovalGrace time.Duration
	// RestoreGrace is how long after the registry's return from a copy what the copy says of
	// servers counts less than what was known of them: by then the entry of one that had
	// left has lapsed. Default 5 s.
	RestoreGrace time.Duration
	// DirectiveGrace is how long after that directives of the operator are kept that
	// the copy lacks; who wrote them writes them again. Default 10 s.
	DirectiveGrace time.Duration
	// Disabled names the mechanisms that are switched off, for diagnosis.
	Disabled mechanism.Disabled
}

// Defaults of Options.
const (
	DefaultOutageAfter  = 1500 * time.Millisecond
	DefaultRemovalGrace = 2 * time.Second

	DefaultNodeRemovalGrace = 6 * time.Second
	DefaultRestoreGrace     = 5 * time.Second
	DefaultDirectiveGrace   = 10 * time.Second
)

// View is what a node believes. It is not safe for concurrent use.
type View struct {
	options    Options
	servers    map[string]*entry[Server]
	nodes      map[string]*entry[Node]
	directives directives
	restored   restoreState

	synced   bool
	syncedAt time.Duration
	// retainUntil is until when entries that go are kept. It counts from the
	// registry's return, not from when an entry went: an entry that goes later is
	// kept for less, so that no entry is used for longer than the time to hear of
	// the return and RemovalGrace.
	retainUntil time.Duration
	// firstSyncedAt is when the registry was heard for the first time.
	firstSyncedAt time.Duration
}

// NewView returns a View that knows nothing.
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

// RecordResponse notes that the registry answered at now, which may be after an outage: what
// went meanwhile is in doubt. What is known is no younger than before.
func (v *View) RecordResponse(now time.Duration) {
	if v.synced && now-v.syncedAt > v.options.OutageAfter && v.options.Disabled.Enabled(mechanism.OutageRetention) {
		v.retainUntil = now + v.options.RemovalGrace
	}
}

// RecordSync notes that the registry answered at now with all that changed.
func (v *View) RecordSync(now time.Duration) {
	v.RecordResponse(now)
	v.RecordContinuousSync(now)
}

// RecordContinuousSync notes the same of a node that heard the registry without a gap: it casts
// no doubt on what it tells.
func (v *View) RecordContinuousSync(now time.Duration) {
	if !v.synced {
		v.firstSyncedAt, v.syncedAt = now, now // before this node's start, if another one heard it
	}
	v.synced = true
	v.syncedAt = max(v.syncedAt, now)
}

// Continuous reports whether the registry was heard without a gap for so long that nothing
// that went is in doubt: neither after an outage nor after this node's own start, before
// which it may have been away.
func (v *View) Continuous(now time.Duration) bool {
	return v.synced && now >= v.retainUntil && now-v.syncedAt <= v.options.OutageAfter && now-v.firstSyncedAt >= v.options.RemovalGrace
}

// Age is the time since the registry was last heard; ok is false when it never was.
func (v *View) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - v.syncedAt, v.synced
}

// PutServer takes a server's entry, as heard at now; an older position changes nothing.
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

// PutNode takes a node's entry; an older position changes nothing. A node that was
// registered later at the same address took the earlier one's place: two live
// processes can't listen at one address, and an entry outlasts its process.
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

// RemoveServer notes that a server's entry went.
func (v *View) RemoveServer(now time.Duration, id string, position Position) {
	delete(v.restored.servers, id)
	known := v.servers[id]
	remove(v, v.servers, now, v.retainUntil, id, position)
	if known != nil && v.servers[id] == nil {
		v.restored.recordDeparted(now, known.value)
	}
}

// RemoveNode notes that a node's entry went.
func (v *View) RemoveNode(now time.Duration, id string, position Position) {
	remove(v, v.nodes, now, now+v.options.NodeRemovalGrace, id, position)
}

// remove drops an entry, or keeps it for a while as missing.
func remove[T any](v *View, entries map[string]*entry[T], now, keptUntil time.Duration, id string, position Position) {
	known := entries[id]
	if known == nil || position.Before(known.position) || known.retained {
		return
	}
	if now >= v.retainUntil {
		delete(entries, id)
		return
	}
	known.retained, known.retainedUntil = true, keptUntil
}

// RetainServers notes a whole listing as of a position: servers that it does
// not hold have gone, unless they came later.
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

// Expire drops the missing entries whose time is over, and ends what a copy leaves in doubt.
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

// NextExpiry is when Expire is to be called next; ok is false when nothing is awaited.
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

// Servers lists the servers that are believed to be there, by ID, with those that
// are missing and kept.
func (v *View) Servers() []Server { return list(v.servers, true, Server.key) }

// Nodes lists the nodes in the same way.
func (v *View) Nodes() []Node { return list(v.nodes, true, Node.key) }

// RegisteredServers lists the servers without those that are missing, by ID. It is
// what others may be told: each node keeps what it misses by its own doubt.
func (v *View) RegisteredServers() []Server { return list(v.servers, false, Server.key) }

// RegisteredNodes lists the nodes in the same way.
func (v *View) RegisteredNodes() []Node { return list(v.nodes, false, Node.key) }

// SyncedAt is when the registry was heard last; ok is false when it never was.
func (v *View) SyncedAt() (at time.Duration, ok bool) { return v.syncedAt, v.synced }

func list[T any](entries map[string]*entry[T], missing bool, key func(T) string) []T {
	compare := func(a, b T) int { return cmp.Compare(key(a), key(b)) }
	values := make([]T, 0, len(entries))
	for _, e := range entries {
		if missing || !e.retained {
			values = append(values, e.value)
		}
	}
	slices.SortFunc(values, compare)
	return values
}
