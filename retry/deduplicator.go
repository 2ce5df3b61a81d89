package retry

import (
	"container/list"
	"time"
)

// GuardOptions sets up a Guard. The zero value of a field stands for its default.
type GuardOptions struct {
	// Window is how long an ended request is remembered; default ten minutes.
	Window time.Duration
	// Maximum is the number of requests that are remembered; default 100,000.
	Maximum int
}

// Defaults of GuardOptions.
const (
	DefaultGuardWindow  = 10 * time.Minute
	DefaultGuardMaximum = 100_000
)

// Digest tells whether two requests are the same; callers hash all that decides
// what the request does.
type Digest [32]byte

// Verdict is a Guard's answer to a request ID.
type Verdict int

const (
	// New requests may run; the caller must call Complete or Abandon later.
	New Verdict = iota + 1
	// InProgress requests run already.
	InProgress
	// Recorded requests ran; the outcome is given.
	Recorded
	// Conflict means that the ID was used for a request with another digest.
	Conflict
	// Full means that the guard remembers as many requests as it may. The
	// request must be refused: forgetting another could let that one run twice.
	Full
)

// Guard lets each request ID run at most once within a window. It lives in
// memory only: what a restart of the process does to it is up to its owner.
type Guard struct {
	options GuardOptions
	entries map[string]*guarded
	// ended lists the ended requests, the first to expire at the front.
	ended list.List
}

type guarded struct {
	id      string
	digest  Digest
	done    bool
	outcome any
	expires time.Duration
	element *list.Element
}

// NewGuard returns an empty Guard.
func NewGuard(options GuardOptions) *Guard {
	if options.Window <= 0 {
		options.Window = DefaultGuardWindow
	}
	if options.Maximum <= 0 {
		options.Maximum = DefaultGuardMaximum
	}
	return &Guard{options: options, entries: make(map[string]*guarded)}
}

// Begin asks whether the request may run. For Recorded it returns the outcome.
func (g *Guard) Begin(now time.Duration, id string, digest Digest) (Verdict, any) {
	g.Expire(now)
	known := g.entries[id]
	switch {
	case known == nil && len(g.entries) >= g.options.Maximum:
		return Full, nil
	case known == nil:
		g.entries[id] = &guarded{id: id, digest: digest}
		return New, nil
	case known.digest != digest:
		return Conflict, nil
	case known.done:
		return Recorded, known.outcome
	default:
		return InProgress, nil
	}
}

// Knows reports whether the request is in progress or ended within the window.
func (g *Guard) Knows(now time.Duration, id string) bool {
	g.Expire(now)
	return g.entries[id] != nil
}

// Complete records the outcome of a request that ran or may have run. It is
// remembered for the window from now on.
func (g *Guard) Complete(now time.Duration, id string, outcome any) {
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
func (g *Guard) Abandon(id string) {
	if known := g.entries[id]; known != nil && !known.done {
		delete(g.entries, id)
	}
}

// Expire forgets the ended requests whose window has passed. Requests in
// progress are never forgotten.
func (g *Guard) Expire(now time.Duration) {
	for front := g.ended.Front(); front != nil; front = g.ended.Front() {
		oldest := front.Value.(*guarded)
		if oldest.expires > now {
			return
		}
		g.ended.Remove(front)
		delete(g.entries, oldest.id)
	}
}

// Len is the number of requests remembered.
func (g *Guard) Len() int { return len(g.entries) }

// RetryAfter is when a request that met a full guard may come back: once the
// oldest ended request expires, or the window when none has ended.
func (g *Guard) RetryAfter(now time.Duration) time.Duration {
	front := g.ended.Front()
	if front == nil {
		return g.options.Window
	}
	return max(front.Value.(*guarded).expires-now, 0)
}
