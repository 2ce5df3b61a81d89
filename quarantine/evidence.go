package quarantine

import (
	"maps"
	"slices"
	"time"
)

// startReviewIfProven begins a review where the evidence suffices.
func (l *Tracker) startReviewIfProven(now time.Duration, s *suspect) {
	s.lastSeen = now
	if s.reviewUntil > 0 || s.quarantined || !l.hasProof(s) {
		return
	}
	s.reviewUntil = now + reviewPeriod
	if !s.observedLocally {
		s.reviewUntil += reviewPeriod // until the verdict is here
	}
}

// hasProof reports whether enough servers ended under a fingerprint, one of them alone and under
// no other suspected fingerprint, or several alone at different moments.
func (l *Tracker) hasProof(s *suspect) bool {
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
		if alone && l.attributions[incarnation] == 1 {
			return true
		}
	}
	return false
}

// maxRecentCrashes bounds the ends of late that are kept: as many as one fan-out over the shards of
// the greatest deployment that is planned may cause.
const maxRecentCrashes = 512

// recordRecentCrash keeps an crash among those of late.
func (l *Tracker) recordRecentCrash(now time.Duration, fingerprint Fingerprint, crash Crash) {
	old := 0
	for old < len(l.recentCrashes) && (now-l.recentCrashes[old].at > 2*reviewPeriod || len(l.recentCrashes)-old >= maxRecentCrashes) {
		old++
	}
	l.recentCrashes = append(slices.Delete(l.recentCrashes, 0, old), recentCrash{at: now, incarnation: crash.ServerIncarnation, fingerprint: fingerprint})
}

// otherServersCrashed reports whether a server that did not run the fingerprint ended within the time of a
// review of the one that got it alone: then something else may have ended that one, too.
func (l *Tracker) otherServersCrashed(fingerprint Fingerprint, s *suspect) bool {
	own := make(map[Incarnation]struct{}, len(s.crashes))
	for incarnation := range s.crashes {
		own[incarnation] = struct{}{}
	}
	for _, crash := range l.recentCrashes {
		if crash.fingerprint == fingerprint {
			own[crash.incarnation] = struct{}{}
		}
	}
	for _, crash := range l.recentCrashes {
		if _, ran := own[crash.incarnation]; !ran && (crash.at-s.lastAloneAt).Abs() <= reviewPeriod {
			return true
		}
	}
	return false
}

func (l *Tracker) getOrAddSuspect(now time.Duration, fingerprint Fingerprint) *suspect {
	s := l.suspects[fingerprint]
	if s == nil {
		l.evictIfFull()
		s = &suspect{crashes: make(map[Incarnation]bool), lastSeen: now}
		l.suspects[fingerprint] = s
	}
	return s
}

// addCrash notes an crash, and reports whether that is news. One that was alone takes the place of
// another where there is no room.
func (l *Tracker) addCrash(now time.Duration, s *suspect, crash Crash) (news bool) {
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
				l.removeCrash(s, incarnation)
				break
			}
		}
	}
	s.crashes[crash.ServerIncarnation] = crash.Alone
	l.attributions[crash.ServerIncarnation]++
	return true
}

func (l *Tracker) removeCrash(s *suspect, incarnation Incarnation) {
	delete(s.crashes, incarnation)
	l.attributions[incarnation]--
	if l.attributions[incarnation] == 0 {
		delete(l.attributions, incarnation)
	}
}

func (l *Tracker) removeSuspect(fingerprint Fingerprint) {
	s := l.suspects[fingerprint]
	for incarnation := range s.crashes {
		l.removeCrash(s, incarnation)
	}
	delete(l.suspects, fingerprint)
}

// evictIfFull forgets the fingerprint of which nothing was heard for longest, one that is not
// quarantined if there is one.
func (l *Tracker) evictIfFull() {
	if len(l.suspects) < maxSuspects {
		return
	}
	var oldest Fingerprint
	var found *suspect
	for fingerprint, s := range l.suspects {
		if found == nil || s.quarantined != found.quarantined && found.quarantined ||
			s.quarantined == found.quarantined && s.lastSeen < found.lastSeen {
			oldest, found = fingerprint, s
		}
	}
	l.removeSuspect(oldest)
}

// sortedFingerprints lists what is known, in an order that repeats.
func (l *Tracker) sortedFingerprints() []Fingerprint {
	return slices.SortedFunc(maps.Keys(l.suspects), func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
}

// broadcastFinding is what all nodes are told.
func (l *Tracker) broadcastFinding(fingerprint Fingerprint, s *suspect) Finding {
	s.broadcast = true
	finding := l.findingFor(fingerprint, s)
	finding.Wide = true
	return finding
}

func (l *Tracker) findingFor(fingerprint Fingerprint, s *suspect) Finding {
	finding := Finding{Content: fingerprint, Quarantined: s.quarantined}
	for _, incarnation := range slices.Sorted(maps.Keys(s.crashes)) {
		finding.Crashes = append(finding.Crashes, Crash{ServerIncarnation: incarnation, Alone: s.crashes[incarnation]})
	}
	return finding
}
