package quarantine

import (
	"math"
	"time"
)

const (
	// endsToQuarantine is the number of servers that must have ended under a content: one or
	// two may end by themselves while they run it.
	endsToQuarantine = 3
	// alonesToQuarantine is the number of servers that got a content alone, and ended at moments
	// apart, that speak against it whatever else ended then: where sixteen contents that end
	// servers come at a time, each voided the others' reviews, and one was sent on four times.
	alonesToQuarantine = 2
	// reviewTime is how long other nodes' findings are awaited before a content is
	// quarantined: four times the longest way between regions on the users' sites (24 ms).
	reviewTime = 100 * time.Millisecond
	// outcomeTime is how long it is awaited what becomes of a fan-out under which servers end.
	outcomeTime = 250 * time.Millisecond
	// memory is how long a suspicion lasts after its last evidence, and a quarantine that no
	// registry keeps after the content came last.
	memory = 10 * time.Minute
	// mostContents bounds the contents that are kept; each takes some 300 bytes.
	mostContents = 1024
	// mostLives bounds the ends that are kept of a content.
	mostLives = 8
)

// Status is how a content may be sent.
type Status int

const (
	// Clear contents are sent as usual.
	Clear Status = iota
	// Suspected contents are sent to one server at a time.
	Suspected
	// UnderReview contents are not sent until the review is over.
	UnderReview
	// Quarantined contents are not sent.
	Quarantined
)

// Tracker keeps what is known of contents. It is not safe for concurrent use. Times are
// durations since an epoch of the owner's choice and never decrease.
type Tracker struct {
	suspects map[Fingerprint]*suspect
	// claims counts the contents under which a life ended.
	claims map[Incarnation]int
	// recorded are the contents that the registry says are quarantined.
	recorded map[Fingerprint]struct{}
	// recent are the ends of late, under whatever content, in order.
	recent []recentEnd
}

// recentEnd is the end of a server under a content, as it was seen or heard of.
type recentEnd struct {
	at      time.Duration
	life    Incarnation
	content Fingerprint
}

// suspect is what is known of one content.
type suspect struct {
	ends map[Incarnation]bool // whether it was alone
	// touched is when it was last evidence, or came while it was quarantined.
	touched time.Duration
	// aloneAt is when a server that got it alone was last seen or heard to have ended, and
	// alones how often that was, at moments that lie a review or more apart.
	aloneAt time.Duration
	alones  int
	// void says that the ends until now are no proof.
	void bool
	// reviewUntil is when a review ends; zero is that there is none.
	reviewUntil time.Duration
	// awaitedUntil is until when the outcome of a fan-out is awaited.
	awaitedUntil time.Duration
	quarantined  bool
	// told says that all nodes were told of it.
	told bool
	// endedAll says that all servers ended to which this node had sent it at once.
	endedAll bool
	// witnessed says that a server to which this node sent it alone ended.
	witnessed bool
}

// NewTracker returns a ledger that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{
		suspects: make(map[Fingerprint]*suspect),
		claims:   make(map[Incarnation]int),
		recorded: make(map[Fingerprint]struct{}),
	}
}

// IsEmpty reports whether nothing is known of any content.
func (l *Tracker) IsEmpty() bool { return len(l.suspects) == 0 && len(l.recorded) == 0 }

// QuarantineCount is the number of contents that are refused.
func (l *Tracker) QuarantineCount() int {
	count := len(l.recorded)
	for content, s := range l.suspects {
		if _, recorded := l.recorded[content]; s.quarantined && !recorded {
			count++
		}
	}
	return count
}

// SuspectCount is the number of contents of which something is known.
func (l *Tracker) SuspectCount() int { return len(l.suspects) }

// ServerCrashed notes that a server ended while it ran a content, which it got alone or not.
func (l *Tracker) ServerCrashed(now time.Duration, content Fingerprint, end Crash) (Finding, Audience) {
	s := l.suspectOf(now, content)
	before := len(s.ends)
	l.note(now, content, end)
	s.witnessed = s.witnessed || end.Alone
	if l.add(now, s, end) {
		l.consider(now, s)
	}
	switch {
	case len(s.ends) == before && !end.Alone:
		return Finding{}, AudienceNone // known, or more than need be
	case end.Alone:
		return l.wideFinding(content, s), AudienceAll
	case before == 0:
		return l.findingOn(content, s), AudienceAggregators
	default:
		return Finding{}, AudienceNone
	}
}

// AwaitFanOut tells all nodes of a content that was sent to several servers at once, of which some
// have ended, one after the other, and none has answered yet. It is under review until the others
// have answered or ended.
func (l *Tracker) AwaitFanOut(now time.Duration, content Fingerprint) (Finding, Audience) {
	s := l.suspects[content]
	if s == nil || s.told {
		return Finding{}, AudienceNone
	}
	s.awaitedUntil = now + outcomeTime
	return l.wideFinding(content, s), AudienceAll
}

// CrashedAllServers notes that all servers have ended to which a content was sent at once, one after the
// other: that is proof as if one had got it alone.
func (l *Tracker) CrashedAllServers(now time.Duration, content Fingerprint) (Finding, Audience) {
	s := l.suspects[content]
	if s == nil || s.quarantined || s.endedAll {
		return Finding{}, AudienceNone
	}
	s.endedAll, s.witnessed, s.aloneAt, s.void = true, true, now, false
	l.consider(now, s)
	return l.wideFinding(content, s), AudienceAll
}

// Answered notes that a server ran a content and answered. What is quarantined stays so: the
// answer may be older than the ends.
func (l *Tracker) Answered(content Fingerprint) (Finding, Audience) {
	s := l.suspects[content]
	if s == nil || s.quarantined {
		return Finding{}, AudienceNone
	}
	told := s.told
	l.forget(content)
	if told {
		return Finding{Content: content, Answered: true, Wide: true}, AudienceAll
	}
	return Finding{Content: content, Answered: true}, AudienceAggregators
}

// MergeFinding takes another node's finding. It returns what all nodes are to be told of it where
// that follows only from several nodes' findings together.
func (l *Tracker) MergeFinding(now time.Duration, finding Finding) (Finding, Audience) {
	if finding.Answered {
		if s := l.suspects[finding.Content]; s != nil && !s.quarantined {
			l.forget(finding.Content)
		}
		return Finding{}, AudienceNone
	}
	if len(finding.Crashes) == 0 && !finding.Quarantined {
		return Finding{}, AudienceNone
	}
	s := l.suspectOf(now, finding.Content)
	before, changed := len(s.ends), false
	for _, end := range finding.Crashes[:min(len(finding.Crashes), mostLives)] {
		if _, known := s.ends[end.ServerIncarnation]; !known {
			l.note(now, finding.Content, end)
		}
		changed = l.add(now, s, end) || changed
	}
	s.quarantined = s.quarantined || finding.Quarantined
	if finding.unanswered() && !s.told {
		s.awaitedUntil = now + outcomeTime
	}
	s.told = s.told || finding.Wide
	if changed {
		l.consider(now, s)
	}
	if s.told || before == 0 || len(s.ends) == before {
		return Finding{}, AudienceNone
	}
	return l.wideFinding(finding.Content, s), AudienceAll
}

// SetRecordedQuarantines takes all contents that the registry says are quarantined. One that it says so
// of no longer is suspected: it is tried alone once.
func (l *Tracker) SetRecordedQuarantines(now time.Duration, recorded []Fingerprint) {
	before := l.recorded
	l.recorded = make(map[Fingerprint]struct{}, len(recorded))
	for _, content := range recorded {
		l.recorded[content] = struct{}{}
	}
	for content := range before {
		if _, stands := l.recorded[content]; stands {
			continue
		}
		s := l.suspectOf(now, content)
		s.quarantined, s.reviewUntil = false, 0
		s.witnessed, s.endedAll, s.alones, s.void = false, false, 0, true
		for unknown := Incarnation(0); len(s.ends) < endsToQuarantine-1; unknown++ {
			l.add(now, s, Crash{ServerIncarnation: math.MaxUint64 - unknown}) // stands for an end that led to the record
		}
	}
}

// Status tells how a content that has come may be sent, and for how long a review lasts yet.
func (l *Tracker) Status(now time.Duration, content Fingerprint) (standing Status, left time.Duration) {
	if _, recorded := l.recorded[content]; recorded {
		return Quarantined, 0
	}
	s := l.suspects[content]
	switch {
	case s == nil:
		return Clear, 0
	case s.quarantined:
		s.touched = now
		return Quarantined, 0
	case now < max(s.reviewUntil, s.awaitedUntil):
		return UnderReview, max(s.reviewUntil, s.awaitedUntil) - now
	default:
		return Suspected, 0
	}
}

// IsProven reports whether the evidence against a content suffices, also while it is reviewed.
func (l *Tracker) IsProven(content Fingerprint) bool {
	_, recorded := l.recorded[content]
	s := l.suspects[content]
	return recorded || s != nil && (s.quarantined || s.reviewUntil > 0)
}

// Tick ends the reviews that are over by now, forgets what is old, and returns what all nodes
// are to be told of the contents that this node has quarantined by that.
func (l *Tracker) Tick(now time.Duration) (quarantined []Finding) {
	for _, content := range l.contents() {
		s := l.suspects[content]
		switch {
		case now-s.touched >= memory:
			l.forget(content)
		case s.reviewUntil > 0 && now >= s.reviewUntil:
			s.reviewUntil = 0
			switch {
			case !s.witnessed: // who saw the proof judges it, and tells
			case s.alones < alonesToQuarantine && l.othersEnded(content, s):
				s.void = true // it is to be tried again
			case l.proven(s):
				s.quarantined = true
				quarantined = append(quarantined, l.wideFinding(content, s))
			}
		}
	}
	return quarantined
}

// NextTick is when Tick is to be called; ok is false when nothing is awaited.
func (l *Tracker) NextTick() (at time.Duration, ok bool) {
	for _, s := range l.suspects {
		due := s.touched + memory
		if s.reviewUntil > 0 {
			due = min(due, s.reviewUntil)
		}
		if !ok || due < at {
			at, ok = due, true
		}
	}
	return at, ok
}
