package quarantine

import (
	"maps"
	"slices"
	"time"
)

// startReviewIfProven records new evidence at now, and starts a review if the evidence
// suffices and none is in progress.
func (t *Tracker) startReviewIfProven(now time.Duration, s *suspect) {
	s.lastSeen = now
	if s.reviewUntil > 0 || s.quarantined || !t.hasProof(s) {
		return
	}
	s.reviewUntil = now + reviewPeriod
	if !s.observedLocally {
		s.reviewUntil += reviewPeriod // until the result of the node that observed the crash arrives
	}
}

// hasProof reports whether enough servers crashed while they ran the request and, in addition,
// several of them ran it alone and crashed at different times. Unless the evidence is void, it is
// also enough that one ran it alone and crashed under no other suspect, or that all servers of a
// fan-out crashed.
func (t *Tracker) hasProof(s *suspect) bool {
	switch {
	case len(s.crashes) < minCrashes:
		return false
	case s.aloneCrashes >= minAloneCrashes:
		return true
	case s.evidenceVoid:
		return false
	case s.allCrashed:
		return true
	}
	for incarnation, alone := range s.crashes {
		if alone && t.attributions[incarnation] == 1 {
			return true
		}
	}
	return false
}

// maxRecentCrashes bounds the recent crashes that are kept. One fan-out over all shards of the
// largest planned deployment can cause this many.
const maxRecentCrashes = 512

// recordRecentCrash appends a crash to the recent ones and drops those that are too old or too
// many.
func (t *Tracker) recordRecentCrash(now time.Duration, fingerprint Fingerprint, crash Crash) {
	old := 0
	for old < len(t.recentCrashes) && (now-t.recentCrashes[old].at > 2*reviewPeriod || len(t.recentCrashes)-old >= maxRecentCrashes) {
		old++
	}
	t.recentCrashes = append(slices.Delete(t.recentCrashes, 0, old), recentCrash{at: now, incarnation: crash.ServerIncarnation, fingerprint: fingerprint})
}

// otherServersCrashed reports whether a server that did not run the request crashed within one
// review period of the server that ran it alone. Both may then have crashed for another reason.
func (t *Tracker) otherServersCrashed(fingerprint Fingerprint, s *suspect) bool {
	own := make(map[Incarnation]struct{}, len(s.crashes))
	for incarnation := range s.crashes {
		own[incarnation] = struct{}{}
	}
	for _, crash := range t.recentCrashes {
		if crash.fingerprint == fingerprint {
			own[crash.incarnation] = struct{}{}
		}
	}
	for _, crash := range t.recentCrashes {
		if _, ran := own[crash.incarnation]; !ran && (crash.at-s.lastAloneAt).Abs() <= reviewPeriod {
			return true
		}
	}
	return false
}

// getOrAddSuspect returns the suspect for the fingerprint and creates it if needed.
func (t *Tracker) getOrAddSuspect(now time.Duration, fingerprint Fingerprint) *suspect {
	s := t.suspects[fingerprint]
	if s == nil {
		t.evictIfFull()
		s = &suspect{crashes: make(map[Incarnation]bool), lastSeen: now}
		t.suspects[fingerprint] = s
	}
	return s
}

// addCrash records a crash and reports whether it is new evidence. If the list is full, a crash
// with Alone set replaces one without it.
func (t *Tracker) addCrash(now time.Duration, s *suspect, crash Crash) (isNew bool) {
	alone, known := s.crashes[crash.ServerIncarnation]
	if crash.Alone && !alone {
		if s.aloneCrashes == 0 || now-s.lastAloneAt > reviewPeriod {
			s.aloneCrashes++
		}
		s.lastAloneAt, s.evidenceVoid = now, false
	}
	switch {
	case known:
		s.crashes[crash.ServerIncarnation] = alone || crash.Alone
		return crash.Alone && !alone
	case len(s.crashes) < maxCrashesPerSuspect:
	case !crash.Alone:
		return false
	default:
		for _, incarnation := range slices.Sorted(maps.Keys(s.crashes)) {
			if !s.crashes[incarnation] {
				t.removeCrash(s, incarnation)
				break
			}
		}
	}
	s.crashes[crash.ServerIncarnation] = crash.Alone
	t.attributions[crash.ServerIncarnation]++
	return true
}

func (t *Tracker) removeCrash(s *suspect, incarnation Incarnation) {
	delete(s.crashes, incarnation)
	t.attributions[incarnation]--
	if t.attributions[incarnation] == 0 {
		delete(t.attributions, incarnation)
	}
}

func (t *Tracker) removeSuspect(fingerprint Fingerprint) {
	s := t.suspects[fingerprint]
	for incarnation := range s.crashes {
		t.removeCrash(s, incarnation)
	}
	delete(t.suspects, fingerprint)
}

// evictIfFull removes the least recently seen suspect when the limit is reached, preferring
// suspects that are not quarantined.
func (t *Tracker) evictIfFull() {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest Fingerprint
	var victim *suspect
	for fingerprint, s := range t.suspects {
		if victim == nil || s.quarantined != victim.quarantined && victim.quarantined ||
			s.quarantined == victim.quarantined && s.lastSeen < victim.lastSeen {
			oldest, victim = fingerprint, s
		}
	}
	t.removeSuspect(oldest)
}

// sortedFingerprints returns the fingerprints of all suspects in a deterministic order.
func (t *Tracker) sortedFingerprints() []Fingerprint {
	return slices.SortedFunc(maps.Keys(t.suspects), func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
}

// broadcastFinding marks the suspect as broadcast and returns the finding to send to all nodes.
func (t *Tracker) broadcastFinding(fingerprint Fingerprint, s *suspect) Finding {
	s.broadcast = true
	finding := t.findingFor(fingerprint, s)
	finding.Wide = true
	return finding
}

func (t *Tracker) findingFor(fingerprint Fingerprint, s *suspect) Finding {
	finding := Finding{Content: fingerprint, Quarantined: s.quarantined}
	for _, incarnation := range slices.Sorted(maps.Keys(s.crashes)) {
		finding.Crashes = append(finding.Crashes, Crash{ServerIncarnation: incarnation, Alone: s.crashes[incarnation]})
	}
	return finding
}
