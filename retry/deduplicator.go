package retry

import (
	"container/list"
	"time"
)

// DeduplicatorOptions configures a Deduplicator. Zero fields take their defaults.
type DeduplicatorOptions struct {
	// Window is how long a completed request is remembered; default 10 minutes.
	Window time.Duration
	// MaxEntries bounds the requests that are remembered; default 100,000.
	MaxEntries int
}

// Defaults of DeduplicatorOptions.
const (
	DefaultDeduplicationWindow = 10 * time.Minute
	DefaultMaxEntries          = 100_000
)

// Digest identifies the content of a request. Callers hash everything that
// determines the effect of the request.
type Digest [32]byte

// Verdict is the result of Begin.
type Verdict int

const (
	// Accepted means that the request may run; the caller must call Complete or
	// Abandon later.
	Accepted Verdict = iota + 1
	// InProgress means that the request is running already.
	InProgress
	// Completed means that the request has run; Begin returns its outcome.
	Completed
	// Conflict means that the ID belongs to a request with another digest.
	Conflict
	// Full means that MaxEntries requests are remembered. The request must be
	// refused: evicting another one could let that one run twice.
	Full
)

// Deduplicator lets each request ID run at most once within a time window. Its
// state is held in memory only; the owner must handle restarts of the process.
type Deduplicator struct {
	options DeduplicatorOptions
	entries map[string]*dedupEntry
	// ended lists the completed requests in order of expiry.
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

// NewDeduplicator returns an empty Deduplicator.
func NewDeduplicator(options DeduplicatorOptions) *Deduplicator {
	if options.Window <= 0 {
		options.Window = DefaultDeduplicationWindow
	}
	if options.MaxEntries <= 0 {
		options.MaxEntries = DefaultMaxEntries
	}
	return &Deduplicator{options: options, entries: make(map[string]*dedupEntry)}
}

// Begin decides whether the request may run. With Completed it returns the
// recorded outcome.
func (d *Deduplicator) Begin(now time.Duration, id string, digest Digest) (Verdict, any) {
	d.Expire(now)
	entry := d.entries[id]
	switch {
	case entry == nil && len(d.entries) >= d.options.MaxEntries:
		return Full, nil
	case entry == nil:
		d.entries[id] = &dedupEntry{id: id, digest: digest}
		return Accepted, nil
	case entry.digest != digest:
		return Conflict, nil
	case entry.done:
		return Completed, entry.outcome
	default:
		return InProgress, nil
	}
}

// Contains reports whether the request is in progress or was completed within the
// window.
func (d *Deduplicator) Contains(now time.Duration, id string) bool {
	d.Expire(now)
	return d.entries[id] != nil
}

// Complete records the outcome of a request that ran or may have run. The request
// is remembered for one window from now.
func (d *Deduplicator) Complete(now time.Duration, id string, outcome any) {
	entry := d.entries[id]
	if entry == nil || entry.done {
		return
	}
	entry.done = true
	entry.outcome = outcome
	entry.expires = now + d.options.Window
	entry.element = d.ended.PushBack(entry)
}

// Abandon removes a request in progress that is known not to have run, so that the
// caller may retry it. It has no effect on a completed request.
func (d *Deduplicator) Abandon(id string) {
	if entry := d.entries[id]; entry != nil && !entry.done {
		delete(d.entries, id)
	}
}

// Expire removes the completed requests whose window has passed. Requests in
// progress never expire.
func (d *Deduplicator) Expire(now time.Duration) {
	for front := d.ended.Front(); front != nil; front = d.ended.Front() {
		oldest := front.Value.(*dedupEntry)
		if oldest.expires > now {
			return
		}
		d.ended.Remove(front)
		delete(d.entries, oldest.id)
	}
}

// Len returns the number of requests remembered.
func (d *Deduplicator) Len() int { return len(d.entries) }

// RetryAfter returns how long a request that got Full should wait: until the oldest
// completed request expires, or one window if none has completed.
func (d *Deduplicator) RetryAfter(now time.Duration) time.Duration {
	front := d.ended.Front()
	if front == nil {
		return d.options.Window
	}
	return max(front.Value.(*dedupEntry).expires-now, 0)
}
