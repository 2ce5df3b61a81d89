package discovery

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// directives are those that are believed to be in force, by key.
type directives map[string]*trackedDirective

// trackedDirective is one of them.
type trackedDirective struct {
	value Directive
	// position is that of the last word on it.
	position Position
	// since is when it was written, at the earliest, where that is known.
	since      time.Duration
	sinceKnown bool
	// latest is when it stood in the registry already.
	latest time.Duration
	// retainedUntil is until when one that the registry has lost is believed; zero is until it is
	// written again. Then comes what the copy holds instead, if anything.
	retainedUntil time.Duration
	replacement   *Directive
}

// PutDirective takes a directive, as heard at now; an older position changes nothing. A new one
// was written at since at the earliest, where that is known.
func (v *View) PutDirective(now time.Duration, told Directive, position Position, since time.Duration, sinceKnown bool) {
	key := told.Key()
	known := v.directives[key]
	if known != nil && position.Before(known.position) {
		return
	}
	if known == nil {
		v.directives[key] = v.trackDirective(now, told, position, since, sinceKnown)
		return
	}
	known.position = position
	switch {
	case sameDirective(known.value, told):
	case told.Kind == RolloutRecord && told.Number < known.value.Number:
		if !told.Lost {
			known.markLost(told.StoredAt) // the nodes have come farther than what the registry holds
		}
	case known.value.Lost && told.Lost && told.Number == known.value.Number:
		known.value.StoredAt = told.StoredAt
	case known.value.Lost && told.requestsSameAs(known.value) && told.Kind != RolloutRecord:
		known.markRewritten(told)
	case known.value.Lost && now < known.retainedUntil && v.maybeFromBackup(now, told.StoredAt):
		known.value.StoredAt, known.replacement = told.StoredAt, &told
	default:
		v.directives[key] = v.trackDirective(now, told, position, since, sinceKnown)
	}
}

// trackDirective is a directive as it is told first. One that the registry has lost is believed for as
// long as by a node that knew it before.
func (v *View) trackDirective(now time.Duration, told Directive, position Position, since time.Duration, sinceKnown bool) *trackedDirective {
	held := &trackedDirective{value: told, position: position, since: since, sinceKnown: sinceKnown, latest: now}
	if told.Lost && !told.Kind.writtenByNodes() {
		held.retainedUntil = now + v.options.DirectiveGrace
	}
	return held
}

// markLost notes that the registry holds something else at the key, or nothing.
func (h *trackedDirective) markLost(stored Position) {
	h.value.Lost, h.value.StoredAt, h.value.Lease = true, stored, 0
}

// markRewritten notes that the directive stands in the registry again, as it is told.
func (h *trackedDirective) markRewritten(told Directive) {
	number := h.value.Number
	h.value = told
	h.value.Number = number
	h.retainedUntil, h.replacement = 0, nil
}

// beginEpoch notes that the registry has come back from a copy: what it tells next says which
// of the directives it still holds. The others are believed until the time given, and those of
// the nodes until they have written them again.
func (d directives) beginEpoch(until time.Duration, epoch Epoch) {
	for _, held := range d {
		held.markLost(Position{Epoch: epoch})
		if !held.value.Kind.writtenByNodes() {
			held.retainedUntil = until
		}
	}
}

// RemoveDirective notes that a directive was taken back. There is no doubt about that: only
// who wrote it removes it, also after an outage.
func (v *View) RemoveDirective(key string, position Position) {
	if known := v.directives[key]; known != nil && !position.Before(known.position) {
		delete(v.directives, key)
	}
}

// RetainDirectives notes a whole listing as of a position: directives that it does not hold were
// taken back, unless they came later, or the registry has lost them.
func (v *View) RetainDirectives(listed map[string]struct{}, position Position) {
	retain(v.directives, listed, func(key string) {
		if !v.directives[key].value.Lost {
			v.RemoveDirective(key, position)
		}
	})
}

// expire ends what is lost and was not written again in time.
func (d directives) expire(now time.Duration) {
	for key, held := range d {
		switch {
		case held.retainedUntil == 0 || now < held.retainedUntil:
		case held.replacement == nil:
			delete(d, key)
		default:
			held.value, held.retainedUntil, held.replacement = *held.replacement, 0, nil
			held.sinceKnown, held.latest = false, now
		}
	}
}

func (d directives) nextExpiry() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, held := range d {
		if held.retainedUntil > 0 {
			next = min(next, held.retainedUntil)
		}
	}
	return next
}

// lostCount counts the directives that the registry has lost.
func (d directives) lostCount() int {
	count := 0
	for _, held := range d {
		if held.value.Lost {
			count++
		}
	}
	return count
}

// Directives lists the directives in force, by key.
func (v *View) Directives() []Directive {
	listed := make([]Directive, 0, len(v.directives))
	for held := range maps.Values(v.directives) {
		listed = append(listed, held.value)
	}
	slices.SortFunc(listed, func(a, b Directive) int { return cmp.Compare(a.Key(), b.Key()) })
	return listed
}

// LostDirectiveCount counts those that the registry has lost as it came back from a copy.
func (v *View) LostDirectiveCount() int { return v.directives.lostCount() }

// RecordDirectiveSeen notes that a directive stood in the registry at a time, as another node has heard.
func (v *View) RecordDirectiveSeen(key string, at time.Duration) {
	if held := v.directives[key]; held != nil {
		held.latest = min(held.latest, at)
	}
}

// Latest is when a directive stood in the registry already, as far as is known.
func (v *View) Latest(key string) (at time.Duration, ok bool) {
	held := v.directives[key]
	if held == nil {
		return 0, false
	}
	return held.latest, true
}

// Since is when a directive was written, at the earliest; ok is false when that is not known.
func (v *View) Since(key string) (at time.Duration, ok bool) {
	held := v.directives[key]
	if held == nil || !held.sinceKnown {
		return 0, false
	}
	return held.since, true
}
