package quarantine

import (
	"math"
	"time"
)

const (
	// minCrashes is the number of servers that must have ended under a fingerprint: one or
	// two may crash by themselves while they run it.
	minCrashes = 3
	// minAloneCrashes is the number of servers that got a fingerprint alone, and ended at moments
	// apart, that speak against it whatever else ended then: where sixteen fingerprints that crash
	// servers come at a time, each voided the others' reviews, and one was sent on four times.
	minAloneCrashes = 2
	// reviewPeriod is how long other nodes' findings are awaited before a fingerprint is
	// quarantined: four times the longest way between regions on the users' sites (24 ms).
	reviewPeriod = 100 * time.Millisecond
	// fanOutTimeout is how long it is awaited what becomes of a fan-out under which servers crash.
	fanOutTimeout = 250 * time.Millisecond
	// retention is how long a suspicion lasts after its last evidence, and a quarantine that no
	// registry keeps after the fingerprint came last.
	retention = 10 * time.Minute
	// maxSuspects bounds the fingerprints that are kept; each takes some 300 bytes.
	maxSuspects = 1024
	// maxCrashesPerSuspect bounds the ends that are kept of a fingerprint.
	maxCrashesPerSuspect = 8
)

// Status is how a fingerprint may be sent.
type Status int

const (
	// Clear fingerprints are sent as usual.
	Clear Status = iota
	// Suspected fingerprints are sent to one server at a time.
	Suspected
	// UnderReview fingerprints are not sent until the review is over.
	UnderReview
	// Quarantined fingerprints are not sent.
	Quarantined
)

// Tracker keeps what is known of fingerprints. It is not safe for concurrent use. Times are
// durations since an epoch of the owner's choice and never decrease.
type Tracker struct {
	suspects map[Fingerprint]*suspect
	// attributions counts the fingerprints under which a incarnation ended.
	attributions map[Incarnation]int
	// recorded are the fingerprints that the registry says are quarantined.
	recorded map[Fingerprint]struct{}
	// recentCrashes are the ends of late, under whatever fingerprint, in order.
	recentCrashes []recentCrash
}

// recentCrash is the crash of a server under a fingerprint, as it was seen or heard of.
type recentCrash struct {
	at          time.Duration
	incarnation Incarnation
	fingerprint Fingerprint
}

// suspect is what is known of one fingerprint.
type suspect struct {
	crashes map[Incarnation]bool // whether it was alone
	// lastSeen is when it was last evidence, or came while it was quarantined.
	lastSeen time.Duration
	// lastAloneAt is when a server that got it alone was last seen or heard to have ended, and
	// alones how often that was, at moments that lie a review or more apart.
	lastAloneAt  time.Duration
	aloneCrashes int
	// evidenceVoid says that the ends until now are no proof.
	evidenceVoid bool
	// reviewUntil is when a review ends; zero is that there is none.
	reviewUntil time.Duration
	// fanOutUntil is until when the outcome of a fan-out is awaited.
	fanOutUntil time.Duration
	quarantined bool
	// broadcast says that all nodes were told of it.
	broadcast bool
	// allCrashed says that all servers ended to which this node had sent it at once.
	allCrashed bool
	// observedLocally says that a server to which this node sent it alone ended.
	observedLocally bool
}

// NewTracker returns a ledger that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{
		suspects:     make(map[Fingerprint]*suspect),
		attributions: make(map[Incarnation]int),
		recorded:     make(map[Fingerprint]struct{}),
	}
}

// IsEmpty reports whether nothing is known of any fingerprint.
func (l *Tracker) IsEmpty() bool { return len(l.suspects) == 0 && len(l.recorded) == 0 }

// QuarantineCount is the number of fingerprints that are refused.
func (l *Tracker) QuarantineCount() int {
	count := len(l.recorded)
	for fingerprint, s := range l.suspects {
		if _, recorded := l.recorded[fingerprint]; s.quarantined && !recorded {
			count++
		}
	}
	return count
}

// SuspectCount is the number of fingerprints of which something is known.
func (l *Tracker) SuspectCount() int { return len(l.suspects) }

// ServerCrashed notes that a server ended while it ran a fingerprint, which it got alone or not.
func (l *Tracker) ServerCrashed(now time.Duration, fingerprint Fingerprint, crash Crash) (Finding, Audience) {
	s := l.getOrAddSuspect(now, fingerprint)
	before := len(s.crashes)
	l.recordRecentCrash(now, fingerprint, crash)
	s.observedLocally = s.observedLocally || crash.Alone
	if l.addCrash(now, s, crash) {
		l.startReviewIfProven(now, s)
	}
	switch {
	case len(s.crashes) == before && !crash.Alone:
		return Finding{}, AudienceNone // known, or more than need be
	case crash.Alone:
		return l.broadcastFinding(fingerprint, s), AudienceAll
	case before == 0:
		return l.findingFor(fingerprint, s), AudienceAggregators
	default:
		return Finding{}, AudienceNone
	}
}

// AwaitFanOut tells all nodes of a fingerprint that was sent to several servers at once, of which some
// have ended, one after the other, and none has answered yet. It is under review until the others
// have answered or ended.
func (l *Tracker) AwaitFanOut(now time.Duration, fingerprint Fingerprint) (Finding, Audience) {
	s := l.suspects[fingerprint]
	if s == nil || s.broadcast {
		return Finding{}, AudienceNone
	}
	s.fanOutUntil = now + fanOutTimeout
	return l.broadcastFinding(fingerprint, s), AudienceAll
}

// CrashedAllServers notes that all servers have ended to which a fingerprint was sent at once, one after the
// other: that is proof as if one had got it alone.
func (l *Tracker) CrashedAllServers(now time.Duration, fingerprint Fingerprint) (Finding, Audience) {
	s := l.suspects[fingerprint]
	if s == nil || s.quarantined || s.allCrashed {
		return Finding{}, AudienceNone
	}
	s.allCrashed, s.observedLocally, s.lastAloneAt, s.evidenceVoid = true, true, now, false
	l.startReviewIfProven(now, s)
	return l.broadcastFinding(fingerprint, s), AudienceAll
}

// Answered notes that a server ran a fingerprint and answered. What is quarantined stays so: the
// answer may be older than the ends.
func (l *Tracker) Answered(fingerprint Fingerprint) (Finding, Audience) {
	s := l.suspects[fingerprint]
	if s == nil || s.quarantined {
		return Finding{}, AudienceNone
	}
	told := s.broadcast
	l.removeSuspect(fingerprint)
	if told {
		return Finding{Content: fingerprint, Answered: true, Wide: true}, AudienceAll
	}
	return Finding{Content: fingerprint, Answered: true}, AudienceAggregators
}

// MergeFinding takes another node's finding. It returns what all nodes are to be told of it where
// that follows only from several nodes' findings together.
func (l *Tracker) MergeFinding(now time.Duration, finding Finding) (Finding, Audience) {
	if finding.Answered {
		if s := l.suspects[finding.Content]; s != nil && !s.quarantined {
			l.removeSuspect(finding.Content)
		}
		return Finding{}, AudienceNone
	}
	if len(finding.Crashes) == 0 && !finding.Quarantined {
		return Finding{}, AudienceNone
	}
	s := l.getOrAddSuspect(now, finding.Content)
	before, changed := len(s.crashes), false
	for _, crash := range finding.Crashes[:min(len(finding.Crashes), maxCrashesPerSuspect)] {
		if _, known := s.crashes[crash.ServerIncarnation]; !known {
			l.recordRecentCrash(now, finding.Content, crash)
		}
		changed = l.addCrash(now, s, crash) || changed
	}
	s.quarantined = s.quarantined || finding.Quarantined
	if finding.isPendingFanOut() && !s.broadcast {
		s.fanOutUntil = now + fanOutTimeout
	}
	s.broadcast = s.broadcast || finding.Wide
	if changed {
		l.startReviewIfProven(now, s)
	}
	if s.broadcast || before == 0 || len(s.crashes) == before {
		return Finding{}, AudienceNone
	}
	return l.broadcastFinding(finding.Content, s), AudienceAll
}

// SetRecordedQuarantines takes all fingerprints that the registry says are quarantined. One that it says so
// of no longer is suspected: it is tried alone once.
func (l *Tracker) SetRecordedQuarantines(now time.Duration, recorded []Fingerprint) {
	before := l.recorded
	l.recorded = make(map[Fingerprint]struct{}, len(recorded))
	for _, fingerprint := range recorded {
		l.recorded[fingerprint] = struct{}{}
	}
	for fingerprint := range before {
		if _, stands := l.recorded[fingerprint]; stands {
			continue
		}
		s := l.getOrAddSuspect(now, fingerprint)
		s.quarantined, s.reviewUntil = false, 0
		s.observedLocally, s.allCrashed, s.aloneCrashes, s.evidenceVoid = false, false, 0, true
		for unknown := Incarnation(0); len(s.crashes) < minCrashes-1; unknown++ {
			l.addCrash(now, s, Crash{ServerIncarnation: math.MaxUint64 - unknown}) // stands for an crash that led to the record
		}
	}
}

// Status tells how a fingerprint that has come may be sent, and for how long a review lasts yet.
func (l *Tracker) Status(now time.Duration, fingerprint Fingerprint) (standing Status, left time.Duration) {
	if _, recorded := l.recorded[fingerprint]; recorded {
		return Quarantined, 0
	}
	s := l.suspects[fingerprint]
	switch {
	case s == nil:
		return Clear, 0
	case s.quarantined:
		s.lastSeen = now
		return Quarantined, 0
	case now < max(s.reviewUntil, s.fanOutUntil):
		return UnderReview, max(s.reviewUntil, s.fanOutUntil) - now
	default:
		return Suspected, 0
	}
}

// IsProven reports whether the evidence against a fingerprint suffices, also while it is reviewed.
func (l *Tracker) IsProven(fingerprint Fingerprint) bool {
	_, recorded := l.recorded[fingerprint]
	s := l.suspects[fingerprint]
	return recorded || s != nil && (s.quarantined || s.reviewUntil > 0)
}

// Tick ends the reviews that are over by now, forgets what is old, and returns what all nodes
// are to be told of the fingerprints that this node has quarantined by that.
func (l *Tracker) Tick(now time.Duration) (quarantined []Finding) {
	for _, fingerprint := range l.sortedFingerprints() {
		s := l.suspects[fingerprint]
		switch {
		case now-s.lastSeen >= retention:
			l.removeSuspect(fingerprint)
		case s.reviewUntil > 0 && now >= s.reviewUntil:
			s.reviewUntil = 0
			switch {
			case !s.observedLocally: // who saw the proof judges it, and tells
			case s.aloneCrashes < minAloneCrashes && l.otherServersCrashed(fingerprint, s):
				s.evidenceVoid = true // it is to be tried again
			case l.hasProof(s):
				s.quarantined = true
				quarantined = append(quarantined, l.broadcastFinding(fingerprint, s))
			}
		}
	}
	return quarantined
}

// NextTick is when Tick is to be called; ok is false when nothing is awaited.
func (l *Tracker) NextTick() (at time.Duration, ok bool) {
	for _, s := range l.suspects {
		due := s.lastSeen + retention
		if s.reviewUntil > 0 {
			due = min(due, s.reviewUntil)
		}
		if !ok || due < at {
			at, ok = due, true
		}
	}
	return at, ok
}
