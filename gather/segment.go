package gather

import (
	"slices"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/snapshot"
)

// segmentState is the state of a segment.
type segmentState int

const (
	active     segmentState = iota // an attempt is in flight or about to be sent
	waiting                        // no server has spare capacity
	backingOff                     // every server was tried; another round follows
	held                           // not sent until other attempts have ended; see mustHold
	answered                       // a reply was accepted
	closed                         // given up, split or discarded by a restart
)

// inlineAttempts is the number of attempts per segment whose lists need no separate allocation.
const inlineAttempts = 2

// Segment is a part of the key space that is answered by a single sub-request.
type Segment struct {
	// Range is the part of the key space.
	Range coverage.Range
	// Group holds the range as of the routing generation that the segment was routed with.
	Group Group

	query         *Query
	generation    uint64
	state         segmentState
	kind          SendKind // of the next sub-request, if waiting, backing off or held
	openIndex     int      // index in the query's open segments
	pending       []*Attempt
	tried         []Server
	rounds        int
	hedgeAt       time.Duration // zero means never
	retryAt       time.Duration // zero means never
	answeredBy    Server
	body          any
	firstAttempt  Attempt
	pendingInline [inlineAttempts]*Attempt
	triedInline   [inlineAttempts]Server
}

// Attempt is a single sub-request.
type Attempt struct {
	ID       AttemptID
	Segment  *Segment
	Server   Server
	Kind     SendKind
	Range    coverage.Range
	Snapshot snapshot.ID
	// SentAt is when the sub-request was sent.
	SentAt time.Duration
	// Alone says that the attempt was sent while the query was suspected of crashing servers,
	// with no other attempt of the query in flight.
	Alone bool

	pending bool
}

// Query returns the query of the attempt.
func (a *Attempt) Query() *Query { return a.Segment.query }

// IsPending reports whether the attempt's reply is still needed.
func (a *Attempt) IsPending() bool { return a.pending }

// Query returns the query of the segment.
func (s *Segment) Query() *Query { return s.query }

// HasTried reports whether the server was tried for the segment in the current round.
func (s *Segment) HasTried(server Server) bool { return slices.Contains(s.tried, server) }

// IsWaiting reports whether the segment is waiting for capacity.
func (s *Segment) IsWaiting() bool { return s.state == waiting }

func (s *Segment) init(q *Query, target Target, generation uint64) {
	s.Range = target.Range
	s.Group = target.Group
	s.query = q
	s.generation = generation
	s.pending = s.pendingInline[:0]
	s.tried = s.triedInline[:0]
}

// newAttempt returns an attempt to fill in; the first one needs no allocation.
func (s *Segment) newAttempt() *Attempt {
	if s.firstAttempt.Segment == nil {
		return &s.firstAttempt
	}
	return new(Attempt)
}

// removeAttempt removes a pending attempt from the segment.
func (s *Segment) removeAttempt(a *Attempt) {
	a.pending = false
	if i := slices.Index(s.pending, a); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
	}
}
