package quarantine

import (
	"maps"
	"slices"
	"time"
)

// consider begins a review where the evidence suffices.
func (l *Tracker) consider(now time.Duration, s *suspect) {
	s.touched = now
	if s.reviewUntil > 0 || s.quarantined || !l.proven(s) {
		return
	}
	s.reviewUntil = now + reviewTime
	if !s.witnessed {
		s.reviewUntil += reviewTime // until the verdict is here
	}
}

// proven reports whether enough servers ended under a content, one of them alone and under
// no other suspected content, or several alone at different moments.
func (l *Tracker) proven(s *suspect) bool {
	switch {
	case len(s.ends) < endsToQuarantine:
		return false
	case s.alones >= alonesToQuarantine:
		return true
	case s.void:
		return false
	case s.endedAll:
		return true
	}
	for life, alone := range s.ends {
		if alone && l.claims[life] == 1 {
			return true
		}
	}
	return false
}

// mostRecent bounds the ends of late that are kept: as many as one fan-out over the shards of
// the greatest deployment that is planned may cause.
const mostRecent = 512

// note keeps an end among those of late.
func (l *Tracker) note(now time.Duration, content Fingerprint, end Crash) {
	old := 0
	for old < len(l.recent) && (now-l.recent[old].at > 2*reviewTime || len(l.recent)-old >= mostRecent) {
		old++
	}
	l.recent = append(slices.Delete(l.recent, 0, old), recentEnd{at: now, life: end.ServerIncarnation, content: content})
}

// othersEnded reports whether a server that did not run the content ended within the time of a
// review of the one that got it alone: then something else may have ended that one, too.
func (l *Tracker) othersEnded(content Fingerprint, s *suspect) bool {
	own := make(map[Incarnation]struct{}, len(s.ends))
	for life := range s.ends {
		own[life] = struct{}{}
	}
	for _, end := range l.recent {
		if end.content == content {
			own[end.life] = struct{}{}
		}
	}
	for _, end := range l.recent {
		if _, ran := own[end.life]; !ran && (end.at-s.aloneAt).Abs() <= reviewTime {
			return true
		}
	}
	return false
}

func (l *Tracker) suspectOf(now time.Duration, content Fingerprint) *suspect {
	s := l.suspects[content]
	if s == nil {
		l.makeRoom()
		s = &suspect{ends: make(map[Incarnation]bool), touched: now}
		l.suspects[content] = s
	}
	return s
}

// add notes an end, and reports whether that is news. One that was alone takes the place of
// another where there is no room.
func (l *Tracker) add(now time.Duration, s *suspect, end Crash) (news bool) {
	alone, known := s.ends[end.ServerIncarnation]
	if end.Alone && !alone {
		if s.alones == 0 || now-s.aloneAt > reviewTime {
			s.alones++
		}
		s.aloneAt, s.void = now, false
	}
	switch {
	case known:
		s.ends[end.ServerIncarnation] = alone || end.Alone
		return end.Alone && !alone
	case len(s.ends) < mostLives:
	case !end.Alone:
		return false
	default:
		for _, life := range slices.Sorted(maps.Keys(s.ends)) {
			if !s.ends[life] {
				l.drop(s, life)
				break
			}
		}
	}
	s.ends[end.ServerIncarnation] = end.Alone
	l.claims[end.ServerIncarnation]++
	return true
}

func (l *Tracker) drop(s *suspect, life Incarnation) {
	delete(s.ends, life)
	l.claims[life]--
	if l.claims[life] == 0 {
		delete(l.claims, life)
	}
}

func (l *Tracker) forget(content Fingerprint) {
	s := l.suspects[content]
	for life := range s.ends {
		l.drop(s, life)
	}
	delete(l.suspects, content)
}

// makeRoom forgets the content of which nothing was heard for longest, one that is not
// quarantined if there is one.
func (l *Tracker) makeRoom() {
	if len(l.suspects) < mostContents {
		return
	}
	var oldest Fingerprint
	var found *suspect
	for content, s := range l.suspects {
		if found == nil || s.quarantined != found.quarantined && found.quarantined ||
			s.quarantined == found.quarantined && s.touched < found.touched {
			oldest, found = content, s
		}
	}
	l.forget(oldest)
}

// contents lists what is known, in an order that repeats.
func (l *Tracker) contents() []Fingerprint {
	return slices.SortedFunc(maps.Keys(l.suspects), func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
}

// wideFinding is what all nodes are told.
func (l *Tracker) wideFinding(content Fingerprint, s *suspect) Finding {
	s.told = true
	finding := l.findingOn(content, s)
	finding.Wide = true
	return finding
}

func (l *Tracker) findingOn(content Fingerprint, s *suspect) Finding {
	finding := Finding{Content: content, Quarantined: s.quarantined}
	for _, life := range slices.Sorted(maps.Keys(s.ends)) {
		finding.Crashes = append(finding.Crashes, Crash{ServerIncarnation: life, Alone: s.ends[life]})
	}
	return finding
}
