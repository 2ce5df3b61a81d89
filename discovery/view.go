package discovery

import (
	"cmp"
	"slices"
	"time"
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
	// ID names the incarnation; it is never used again.
	ID      string
	Service string
	Address string
	Zone    string
	// Slots is the number of requests that it works on at a time.
	Slots int
	State State
	// ColdFor is how much longer it is slow from its start.
	ColdFor time.Duration
}

// Node is one live node.
type Node struct {
	ID string
	// Address is where callers reach it, and Peer where other nodes do.
	Address string
	Peer    string
	Zone    string
	Region  string
	// Capacity is the node's processor capacity, in cores; zero is unknown.
	Capacity float64
	// Busy nodes have so much to do that others should help.
	Busy bool
	// Leaving nodes finish what they have and are given to no caller.
	Leaving bool
}

// Revision orders the changes of a registry.
type Revision uint64

// entry is an item with the revision that wrote it.
type entry[T any] struct {
	value    T
	revision Revision
	// missingSince is when the entry went, while it is kept all the same.
	missingSince time.Duration
	missing      bool
}

// Options sets up a View. Zero fields get defaults.
type Options struct {
	// OutageAfter is the time without a word from the registry after which
	// entries that go are not proof that their owners left: those could not
	// renew them. Default 1.5 s.
	OutageAfter time.Duration
	// MissingFor is how long such entries of servers are still used. Default 2 s.
	MissingFor time.Duration
	// NodesMissingFor is the same for nodes, which must be registered anew first;
	// no bound rests on them. Default 6 s.
	NodesMissingFor time.Duration
}

// Defaults of Options.
const (
	DefaultOutageAfter = 1500 * time.Millisecond
	DefaultMissingFor  = 2 * time.Second

	DefaultNodesMissingFor = 6 * time.Second
)

// View is what a node believes. It is not safe for concurrent use.
type View struct {
	options Options
	servers map[string]*entry[Server]
	nodes   map[string]*entry[Node]
	heard   bool
	heardAt time.Duration
	// doubtUntil is until when entries that go are kept for a while.
	doubtUntil time.Duration
}

// NewView returns a View that knows nothing.
func NewView(options Options) *View {
	options.OutageAfter = cmp.Or(options.OutageAfter, DefaultOutageAfter)
	options.MissingFor = cmp.Or(options.MissingFor, DefaultMissingFor)
	options.NodesMissingFor = cmp.Or(options.NodesMissingFor, DefaultNodesMissingFor)
	return &View{
		options: options,
		servers: make(map[string]*entry[Server]),
		nodes:   make(map[string]*entry[Node]),
	}
}

// Heard notes that the registry answered at now with all that changed.
func (v *View) Heard(now time.Duration) {
	if v.heard && now-v.heardAt > v.options.OutageAfter {
		v.doubtUntil = now + v.options.MissingFor
	}
	v.heard = true
	v.heardAt = max(v.heardAt, now)
}

// Age is the time since the registry was last heard; ok is false when it never was.
func (v *View) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - v.heardAt, v.heard
}

// PutServer takes a server's entry; an older revision changes nothing.
func (v *View) PutServer(server Server, revision Revision) {
	put(v.servers, server.ID, server, revision)
}

// PutNode takes a node's entry; an older revision changes nothing.
func (v *View) PutNode(node Node, revision Revision) { put(v.nodes, node.ID, node, revision) }

func put[T any](entries map[string]*entry[T], id string, value T, revision Revision) {
	if known := entries[id]; known != nil && known.revision > revision {
		return
	}
	entries[id] = &entry[T]{value: value, revision: revision}
}

// RemoveServer notes that a server's entry went.
func (v *View) RemoveServer(now time.Duration, id string, revision Revision) {
	remove(v, v.servers, now, id, revision)
}

// RemoveNode notes that a node's entry went.
func (v *View) RemoveNode(now time.Duration, id string, revision Revision) {
	remove(v, v.nodes, now, id, revision)
}

func remove[T any](v *View, entries map[string]*entry[T], now time.Duration, id string, revision Revision) {
	known := entries[id]
	if known == nil || known.revision > revision || known.missing {
		return
	}
	if now >= v.doubtUntil {
		delete(entries, id)
		return
	}
	known.missing, known.missingSince = true, now
}

// RetainServers notes a whole listing as of a revision: servers that it does
// not hold have gone, unless they came later.
func (v *View) RetainServers(now time.Duration, listed map[string]struct{}, revision Revision) {
	retain(v, v.servers, now, listed, revision)
}

// RetainNodes does the same for nodes.
func (v *View) RetainNodes(now time.Duration, listed map[string]struct{}, revision Revision) {
	retain(v, v.nodes, now, listed, revision)
}

func retain[T any](v *View, entries map[string]*entry[T], now time.Duration, listed map[string]struct{}, revision Revision) {
	for id := range entries {
		if _, kept := listed[id]; !kept {
			remove(v, entries, now, id, revision)
		}
	}
}

// Expire drops the entries that went some time ago; it reports whether any did.
func (v *View) Expire(now time.Duration) bool {
	servers := expire(v.servers, now-v.options.MissingFor)
	nodes := expire(v.nodes, now-v.options.NodesMissingFor)
	return servers || nodes
}

func expire[T any](entries map[string]*entry[T], before time.Duration) bool {
	dropped := false
	for id, e := range entries {
		if e.missing && e.missingSince <= before {
			delete(entries, id)
			dropped = true
		}
	}
	return dropped
}

// Servers lists the servers that are believed to be there, by ID.
func (v *View) Servers() []Server {
	return list(v.servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
}

// Nodes lists the nodes that are believed to be there, by ID.
func (v *View) Nodes() []Node {
	return list(v.nodes, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
}

func list[T any](entries map[string]*entry[T], compare func(a, b T) int) []T {
	values := make([]T, 0, len(entries))
	for _, e := range entries {
		values = append(values, e.value)
	}
	slices.SortFunc(values, compare)
	return values
}
