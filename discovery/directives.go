package discovery

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// directives holds the directives in force by key.
type directives map[string]*trackedDirective

// trackedDirective is a directive with what the View knows about its history.
type trackedDirective struct {
	value Directive
	// position is the position of the latest update.
	position Position
	// since is the earliest time at which the directive can have been written, if sinceKnown.
	since      time.Duration
	sinceKnown bool
	// latest is a time at which the registry already held the directive.
	latest time.Duration
	// retainedUntil is the time until which a directive that the registry has lost stays in
	// force; zero means until it is written again. Afterwards replacement, the directive that
	// the backup holds at the same key, takes effect if there is one.
	retainedUntil time.Duration
	replacement   *Directive
}

// PutDirective stores a directive received at now; a position older than the known one is ignored.
// A new directive cannot have been written before since, if sinceKnown.
func (v *View) PutDirective(now time.Duration, update Directive, position Position, since time.Duration, sinceKnown bool) {
	key := update.Key()
	known := v.directives[key]
	if known != nil && position.Before(known.position) {
		return
	}
	if known == nil {
		v.directives[key] = v.trackDirective(now, update, position, since, sinceKnown)
		return
	}
	known.position = position
	switch {
	case sameDirective(known.value, update):
	case update.Kind == RolloutRecord && (update.Number < known.value.Number || known.value.Record.Reopened(update.Record)):
		if !update.Lost {
			known.markLost(update.StoredAt) // the nodes' record is newer than the registry's
		}
	case known.value.Lost && update.Lost && update.Number == known.value.Number:
		known.value.StoredAt = update.StoredAt
	case known.value.Lost && update.requestsSameAs(known.value) && update.Kind != RolloutRecord:
		known.markRewritten(update)
	case known.value.Lost && now < known.retainedUntil && v.maybeFromBackup(now, update.StoredAt):
		known.value.StoredAt, known.replacement = update.StoredAt, &update
	default:
		v.directives[key] = v.trackDirective(now, update, position, since, sinceKnown)
	}
}

// trackDirective returns the state for a directive that is received for the first time. One that
// the registry has lost stays in force for the same time as on nodes that knew it before.
func (v *View) trackDirective(now time.Duration, update Directive, position Position, since time.Duration, sinceKnown bool) *trackedDirective {
	tracked := &trackedDirective{value: update, position: position, since: since, sinceKnown: sinceKnown, latest: now}
	if update.Lost && !update.Kind.writtenByNodes() {
		tracked.retainedUntil = now + v.options.DirectiveGrace
	}
	return tracked
}

// markLost records that the registry holds another directive, or none, at the key.
func (t *trackedDirective) markLost(stored Position) {
	t.value.Lost, t.value.StoredAt, t.value.Lease = true, stored, 0
}

// markRewritten records that the registry holds the directive again, and keeps its number.
func (t *trackedDirective) markRewritten(update Directive) {
	number := t.value.Number
	t.value = update
	t.value.Number = number
	t.retainedUntil, t.replacement = 0, nil
}

// beginEpoch marks all directives as lost, as the registry was restored from a backup; the next
// listing shows which of them it still holds. Directives of operators stay in force until the
// given time, and those of nodes until the nodes have written them again.
func (d directives) beginEpoch(until time.Duration, epoch Epoch) {
	for _, tracked := range d {
		tracked.markLost(Position{Epoch: epoch})
		if !tracked.value.Kind.writtenByNodes() {
			tracked.retainedUntil = until
		}
	}
}

// RemoveDirective records that a directive was removed. This needs no grace period, even after
// an outage, as only the author of a directive removes it.
func (v *View) RemoveDirective(key string, position Position) {
	if known := v.directives[key]; known != nil && !position.Before(known.position) {
		delete(v.directives, key)
	}
}

// RetainDirectives applies a complete listing as of a position: directives that are not listed
// are removed, unless they were added later or the registry has lost them.
func (v *View) RetainDirectives(listed map[string]struct{}, position Position) {
	retain(v.directives, listed, func(key string) {
		if !v.directives[key].value.Lost {
			v.RemoveDirective(key, position)
		}
	})
}

// expire drops lost directives that were not written again in time, or puts their replacement
// into force.
func (d directives) expire(now time.Duration) {
	for key, tracked := range d {
		switch {
		case tracked.retainedUntil == 0 || now < tracked.retainedUntil:
		case tracked.replacement == nil:
			delete(d, key)
		default:
			tracked.value, tracked.retainedUntil, tracked.replacement = *tracked.replacement, 0, nil
			tracked.sinceKnown, tracked.latest = false, now
		}
	}
}

func (d directives) nextExpiry() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, tracked := range d {
		if tracked.retainedUntil > 0 {
			next = min(next, tracked.retainedUntil)
		}
	}
	return next
}

// lostCount returns the number of directives that the registry has lost.
func (d directives) lostCount() int {
	count := 0
	for _, tracked := range d {
		if tracked.value.Lost {
			count++
		}
	}
	return count
}

// Directives returns the directives in force, sorted by key.
func (v *View) Directives() []Directive {
	listed := make([]Directive, 0, len(v.directives))
	for tracked := range maps.Values(v.directives) {
		listed = append(listed, tracked.value)
	}
	slices.SortFunc(listed, func(a, b Directive) int { return cmp.Compare(a.Key(), b.Key()) })
	return listed
}

// LostDirectiveCount returns the number of directives that the registry lost when it was restored
// from a backup.
func (v *View) LostDirectiveCount() int { return v.directives.lostCount() }

// RecordDirectiveSeen records that, according to another node, the registry already held the
// directive at the given time.
func (v *View) RecordDirectiveSeen(key string, at time.Duration) {
	if tracked := v.directives[key]; tracked != nil {
		tracked.latest = min(tracked.latest, at)
	}
}

// Latest returns a time at which the registry already held the directive, as early as is known: the
// directive was written no later than that.
func (v *View) Latest(key string) (at time.Duration, ok bool) {
	tracked := v.directives[key]
	if tracked == nil {
		return 0, false
	}
	return tracked.latest, true
}

// Since returns the earliest time at which a directive can have been written; ok is false if that
// is unknown.
func (v *View) Since(key string) (at time.Duration, ok bool) {
	tracked := v.directives[key]
	if tracked == nil || !tracked.sinceKnown {
		return 0, false
	}
	return tracked.since, true
}
