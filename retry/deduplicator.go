package retry

import (
	"container/list"
	"time"
)

// DeduplicatorOptions sets up a Guard. The zero value of a field stands for its default.
type DeduplicatorOptions struct {
	// Window is how long an ended request is remembered; default ten minutes.
	Window time.Duration
	// MaxEntries is the number of requests that are remembered; default 100,000.
	MaxEntries int
}

// Defaults of DeduplicatorOptions.
const (
	DefaultDeduplicationWindow = 10 * time.Minute
	DefaultMaxEntries          = 100_000
)

// Digest tells whether two requests are the same; callers hash all that decides
// what the request does.
type Digest [32]byte

// Verdict is a Guard's answer to a request ID.
type Verdict int

const (
	// Accepted requests may run; the caller must call Complete or Abandon later.
	Accepted Verdict = iota + 1
	// InProgress requests run already.
	InProgress
	// Completed requests ran; the outcome is given.
	Completed
	// Conflict means that the ID was used for a request with another digest.
	Conflict
	// Full means that the guard remembers as many requests as it may. The
	// request must be refused: forgetting another could let that one run twice.
	Full
)

// Deduplicator lets each request ID run at most once within a window. It lives in
// memory only: what a restart of the process does to it is up to its owner.
type Deduplicator struct {
	options DeduplicatorOptions
	entries map[string]*dedupEntry
	// ended lists the ended requests, the first to expire at the front.
	ended list.List
}

type dedupEntry struct {
	id      string
	digest  Digest
	done    bool
	outcome any
	expires time.Duration
	element *list.Element
}

// NewDeduplicator returns an empty Guard.
func NewDeduplicator(options DeduplicatorOptions) *Deduplicator {
	if options.Window <= 0 {
		options.Window = DefaultDeduplicationWindow
	}
	if options.MaxEntries <= 0 {
		options.MaxEntries = DefaultMaxEntries
	}
	return &Deduplicator{options: options, entries: make(map[string]*dedupEntry)}
}

// Begin asks whether the request may run. For Recorded it returns the outcome.
func (g *Deduplicator) Begin(now time.Duration, id string, digest Digest) (Verdict, any) {
	g.Expire(now)
	known := g.entries[id]
	switch {
	case known == nil && len(g.entries) >= g.options.MaxEntries:
		return Full, nil
	case known == nil:
		g.entries[id] = &dedupEntry{id: id, digest: digest}
		return Accepted, nil
	case known.digest != digest:
		return Conflict, nil
	case known.done:
		return Completed, known.outcome
	default:
		return InProgress, nil
	}
}

// Contains reports whether the request is in progress or ended within the window.
func (g *Deduplicator) Contains(now time.Duration, id string) bool {
	g.Expire(now)
	return g.entries[id] != nil
}

// Complete records the outcome of a request that ran or may have run. It is
// remembered for the window from now on.
func (g *Deduplicator) Complete(now time.Duration, id string, outcome any) {
	known := g.entries[id]
	if known == nil || known.done {
		return
	}
	known.done = true
	known.outcome = outcome
	known.expires = now + g.options.Window
	known.element = g.ended.PushBack(known)
}

// Abandon forgets a request in progress that certainly did not run, so that the
// caller may try it again. It has no effect on an ended request.
func (g *Deduplicator) Abandon(id string) {
	if known := g.entries[id]; known != nil && !known.done {
		delete(g.entries, id)
	}
}

// Expire forgets the ended requests whose window has passed. Requests in
// progress are never forgotten.
func (g *Deduplicator) Expire(now time.Duration) {
	for front := g.ended.Front(); front != nil; front = g.ended.Front() {
		oldest := front.Value.(*dedupEntry)
		if oldest.expires > now {
			return
		}
		g.ended.Remove(front)
		delete(g.entries, oldest.id)
	}
}

// Len is the number of requests remembered.
func (g *Deduplicator) Len() int { return len(g.entries) }

// RetryAfter is when a request that met a full guard may come back: once the
// oldest ended request expires, or the window when none has ended.
func (g *Deduplicator) RetryAfter(now time.Duration) time.Duration {
	front := g.ended.Front()
	if front == nil {
		return g.options.Window
	}
	return max(front.Value.(*dedupEntry).expires-now, 0)
}
