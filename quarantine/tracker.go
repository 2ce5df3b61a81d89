package quarantine

import (
	"math"
	"time"
)

const (
	// minCrashes is the number of servers that must have crashed while they ran the request. One
	// or two may crash for another reason during that time.
	minCrashes = 3
	// minAloneCrashes is the number of crashes at different times, each of a server that ran the
	// request alone, that are proof even if other servers crashed at the same time. Without this
	// rule, sixteen poison requests that arrived together voided each other's reviews, and one of
	// them was sent on four times.
	minAloneCrashes = 2
	// reviewPeriod is the time to wait for other nodes' findings before a request is quarantined:
	// four times the longest delay between regions in deployments (24 ms).
	reviewPeriod = 100 * time.Millisecond
	// fanOutTimeout is the time to wait for the outcome of a fan-out during which servers crash.
	fanOutTimeout = 250 * time.Millisecond
	// retention is how long a suspect is kept after the last evidence, and a quarantine that is
	// not recorded in the registry after the last such request.
	retention = 10 * time.Minute
	// maxSuspects bounds the suspects that are kept; each takes about 300 bytes.
	maxSuspects = 1024
	// maxCrashesPerSuspect bounds the crashes that are kept for each suspect.
	maxCrashesPerSuspect = 8
)

// Status says whether and how a request may be sent.
type Status int

const (
	// Clear means that the request may be sent normally.
	Clear Status = iota
	// Suspected means that the request may be sent to only one server at a time.
	Suspected
	// UnderReview means that the request must not be sent until the review has ended.
	UnderReview
	// Quarantined means that the request must not be sent.
	Quarantined
)

// Tracker records the evidence against requests by fingerprint and decides which requests to
// quarantine. It is not safe for concurrent use. Times are durations since an epoch that the owner
// chooses, and must not decrease.
type Tracker struct {
	suspects map[Fingerprint]*suspect
	// attributions counts, for each crashed incarnation, the suspects that it was running.
	attributions map[Incarnation]int
	// recorded holds the fingerprints of the quarantines recorded in the registry.
	recorded map[Fingerprint]struct{}
	// recentCrashes holds the recent crashes under any fingerprint, oldest first.
	recentCrashes []recentCrash
}

// recentCrash is a crash that this node observed or learned of from another node.
type recentCrash struct {
	at          time.Duration
	incarnation Incarnation
	fingerprint Fingerprint
}

// suspect is the evidence against one fingerprint and its review state.
type suspect struct {
	crashes map[Incarnation]bool // the value is Crash.Alone
	// lastSeen is the time of the latest evidence, or of the latest request while quarantined.
	lastSeen time.Duration
	// lastAloneAt is when this node last learned of a crash with Alone set. aloneCrashes counts
	// those that were more than one review period apart.
	lastAloneAt  time.Duration
	aloneCrashes int
	// evidenceVoid is set when the crashes so far do not count as proof.
	evidenceVoid bool
	// reviewUntil is when the current review ends; zero if there is none.
	reviewUntil time.Duration
	// fanOutUntil is the time until which the outcome of a fan-out is awaited.
	fanOutUntil time.Duration
	quarantined bool
	// broadcast is set when a finding on the suspect was sent to all nodes.
	broadcast bool
	// allCrashed is set when all servers of one of this node's fan-outs crashed.
	allCrashed bool
	// observedLocally is set when this node observed the decisive evidence: the crash of a server
	// that ran the request alone, or of all servers of a fan-out.
	observedLocally bool
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{
		suspects:     make(map[Fingerprint]*suspect),
		attributions: make(map[Incarnation]int),
		recorded:     make(map[Fingerprint]struct{}),
	}
}

// IsEmpty reports whether there are no suspects and no recorded quarantines.
func (t *Tracker) IsEmpty() bool { return len(t.suspects) == 0 && len(t.recorded) == 0 }

// QuarantineCount returns the number of fingerprints that are quarantined.
func (t *Tracker) QuarantineCount() int {
	count := len(t.recorded)
	for fingerprint, s := range t.suspects {
		if _, recorded := t.recorded[fingerprint]; s.quarantined && !recorded {
			count++
		}
	}
	return count
}

// SuspectCount returns the number of fingerprints with evidence against them.
func (t *Tracker) SuspectCount() int { return len(t.suspects) }

// ServerCrashed records that a server crashed while it ran a request. It returns the finding to
// send and to whom.
func (t *Tracker) ServerCrashed(now time.Duration, fingerprint Fingerprint, crash Crash) (Finding, Audience) {
	s := t.getOrAddSuspect(now, fingerprint)
	before := len(s.crashes)
	t.recordRecentCrash(now, fingerprint, crash)
	s.observedLocally = s.observedLocally || crash.Alone
	if t.addCrash(now, s, crash) {
		t.startReviewIfProven(now, s)
	}
	switch {
	case len(s.crashes) == before && !crash.Alone:
		return Finding{}, AudienceNone // known already, or the list is full
	case crash.Alone:
		return t.broadcastFinding(fingerprint, s), AudienceAll
	case before == 0:
		return t.findingFor(fingerprint, s), AudienceAggregators
	default:
		return Finding{}, AudienceNone
	}
}

// CrashedAfterReply records that a server crashed when it had replied to a request, whose reply has been
// delivered. Once several have, it returns a finding for all nodes: each would send the request to several
// servers at once, as it was answered.
func (t *Tracker) CrashedAfterReply(now time.Duration, fingerprint Fingerprint, server Incarnation) (Finding, Audience) {
	finding, audience := t.ServerCrashed(now, fingerprint, Crash{ServerIncarnation: server})
	if s := t.suspects[fingerprint]; len(s.crashes) >= minCrashes && !s.broadcast {
		return t.AwaitFanOut(now, fingerprint)
	}
	return finding, audience
}

// AwaitFanOut puts under review a request that was sent to several servers at once, of which some
// have crashed one after the other and none has answered yet. The review lasts until the others
// have answered or crashed, at most fanOutTimeout. It returns a finding for all nodes.
func (t *Tracker) AwaitFanOut(now time.Duration, fingerprint Fingerprint) (Finding, Audience) {
	s := t.suspects[fingerprint]
	if s == nil || s.broadcast {
		return Finding{}, AudienceNone
	}
	s.fanOutUntil = now + fanOutTimeout
	return t.broadcastFinding(fingerprint, s), AudienceAll
}

// CrashedAllServers records that all servers of a fan-out crashed, one after the other. This
// proves as much as the crash of a server that ran the request alone.
func (t *Tracker) CrashedAllServers(now time.Duration, fingerprint Fingerprint) (Finding, Audience) {
	s := t.suspects[fingerprint]
	if s == nil || s.quarantined || s.allCrashed {
		return Finding{}, AudienceNone
	}
	s.allCrashed, s.observedLocally, s.lastAloneAt, s.evidenceVoid = true, true, now, false
	t.startReviewIfProven(now, s)
	return t.broadcastFinding(fingerprint, s), AudienceAll
}

// Answered records that a server ran a request and answered. A quarantined fingerprint stays
// quarantined, because the answer may be older than the crashes.
func (t *Tracker) Answered(fingerprint Fingerprint) (Finding, Audience) {
	s := t.suspects[fingerprint]
	if s == nil || s.quarantined {
		return Finding{}, AudienceNone
	}
	wasBroadcast := s.broadcast
	t.removeSuspect(fingerprint)
	if wasBroadcast {
		return Finding{Content: fingerprint, Answered: true, Wide: true}, AudienceAll
	}
	return Finding{Content: fingerprint, Answered: true}, AudienceAggregators
}

// MergeFinding merges a finding from another node. It returns a finding for all nodes if only the
// combination of several nodes' findings supports it.
func (t *Tracker) MergeFinding(now time.Duration, finding Finding) (Finding, Audience) {
	if finding.Answered {
		if s := t.suspects[finding.Content]; s != nil && !s.quarantined {
			t.removeSuspect(finding.Content)
		}
		return Finding{}, AudienceNone
	}
	if len(finding.Crashes) == 0 && !finding.Quarantined {
		return Finding{}, AudienceNone
	}
	s := t.getOrAddSuspect(now, finding.Content)
	before, changed := len(s.crashes), false
	for _, crash := range finding.Crashes[:min(len(finding.Crashes), maxCrashesPerSuspect)] {
		if _, known := s.crashes[crash.ServerIncarnation]; !known {
			t.recordRecentCrash(now, finding.Content, crash)
		}
		changed = t.addCrash(now, s, crash) || changed
	}
	s.quarantined = s.quarantined || finding.Quarantined
	if finding.isPendingFanOut() && !s.broadcast {
		s.fanOutUntil = now + fanOutTimeout
	}
	s.broadcast = s.broadcast || finding.Wide
	if changed {
		t.startReviewIfProven(now, s)
	}
	if s.broadcast || before == 0 || len(s.crashes) == before {
		return Finding{}, AudienceNone
	}
	return t.broadcastFinding(finding.Content, s), AudienceAll
}

// SetRecordedQuarantines replaces the set of quarantines recorded in the registry. A fingerprint
// that is no longer recorded becomes a suspect and is sent to a single server once.
func (t *Tracker) SetRecordedQuarantines(now time.Duration, recorded []Fingerprint) {
	before := t.recorded
	t.recorded = make(map[Fingerprint]struct{}, len(recorded))
	for _, fingerprint := range recorded {
		t.recorded[fingerprint] = struct{}{}
	}
	for fingerprint := range before {
		if _, stillRecorded := t.recorded[fingerprint]; stillRecorded {
			continue
		}
		s := t.getOrAddSuspect(now, fingerprint)
		s.quarantined, s.reviewUntil = false, 0
		s.observedLocally, s.allCrashed, s.aloneCrashes, s.evidenceVoid = false, false, 0, true
		for unknown := Incarnation(0); len(s.crashes) < minCrashes-1; unknown++ {
			t.addCrash(now, s, Crash{ServerIncarnation: math.MaxUint64 - unknown}) // placeholder for a crash that led to the record
		}
	}
}

// Status returns whether and how a request that has arrived may be sent, and how long a review
// will still last. For a quarantined fingerprint the call extends the retention.
func (t *Tracker) Status(now time.Duration, fingerprint Fingerprint) (status Status, remaining time.Duration) {
	if _, recorded := t.recorded[fingerprint]; recorded {
		return Quarantined, 0
	}
	s := t.suspects[fingerprint]
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

// IsProven reports whether there is sufficient evidence against a fingerprint, including one that
// is still under review.
func (t *Tracker) IsProven(fingerprint Fingerprint) bool {
	_, recorded := t.recorded[fingerprint]
	s := t.suspects[fingerprint]
	return recorded || s != nil && (s.quarantined || s.reviewUntil > 0)
}

// Tick ends the reviews that are due and removes expired suspects. It returns the findings to send
// to all nodes about fingerprints that this node has quarantined in this call.
func (t *Tracker) Tick(now time.Duration) (quarantined []Finding) {
	for _, fingerprint := range t.sortedFingerprints() {
		s := t.suspects[fingerprint]
		switch {
		case now-s.lastSeen >= retention:
			t.removeSuspect(fingerprint)
		case s.reviewUntil > 0 && now >= s.reviewUntil:
			s.reviewUntil = 0
			switch {
			case !s.observedLocally: // the node that observed the evidence decides and sends the result
			case s.aloneCrashes < minAloneCrashes && t.otherServersCrashed(fingerprint, s):
				s.evidenceVoid = true // the request is to be sent to a single server again
			case t.hasProof(s):
				s.quarantined = true
				quarantined = append(quarantined, t.broadcastFinding(fingerprint, s))
			}
		}
	}
	return quarantined
}

// NextTick returns when Tick must be called next; ok is false when nothing is pending.
func (t *Tracker) NextTick() (at time.Duration, ok bool) {
	for _, s := range t.suspects {
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
