package gather

import (
	"slices"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/snapshot"
)

// segmentState is how far a segment got.
type segmentState int

const (
	active     segmentState = iota // an attempt is in flight, or about to be
	waiting                        // no server had room
	backingOff                     // every server was tried; another round follows
	held                           // nothing more is sent while something is in flight
	answered                       // the reply was taken
	closed                         // given up, or divided
)

// inlineAttempts is the number of attempts per segment that need no allocation
// of their own list.
const inlineAttempts = 2

// Segment is a range of the key space that one sub-request answers.
type Segment struct {
	// Range is the segment's part of the key space.
	Range coverage.Range
	// Group holds the range as of the generation in which it was routed.
	Group Group

	query         *Query
	generation    uint64
	state         segmentState
	kind          SendKind // of the sub-request that waits or rests
	openIndex     int      // in the query's open segments
	pending       []*Attempt
	tried         []Server
	rounds        int
	hedgeAt       time.Duration // zero is never
	retryAt       time.Duration // zero is never
	answeredBy    Server
	body          any
	firstAttempt  Attempt
	pendingInline [inlineAttempts]*Attempt
	triedInline   [inlineAttempts]Server
}

// Attempt is one sub-request.
type Attempt struct {
	ID       AttemptID
	Segment  *Segment
	Server   Server
	Kind     SendKind
	Range    coverage.Range
	Snapshot snapshot.ID
	// SentAt is when the sub-request was sent.
	SentAt time.Duration
	// Alone says that it was sent after servers had ended under the query, with nothing else
	// of it in flight.
	Alone bool

	pending bool
}

// Query is the query to which the attempt belongs.
func (a *Attempt) Query() *Query { return a.Segment.query }

// IsPending reports whether the attempt's reply is still wanted.
func (a *Attempt) IsPending() bool { return a.pending }

// Query is the query to which the segment belongs.
func (s *Segment) Query() *Query { return s.query }

// HasTried reports whether the server was asked for the segment in this round.
func (s *Segment) HasTried(server Server) bool { return slices.Contains(s.tried, server) }

// IsWaiting reports whether the segment waits for room.
func (s *Segment) IsWaiting() bool { return s.state == waiting }

func (s *Segment) init(q *Query, target Target, generation uint64) {
	s.Range = target.Range
	s.Group = target.Group
	s.query = q
	s.generation = generation
	s.pending = s.pendingInline[:0]
	s.tried = s.triedInline[:0]
}

// newAttempt returns a new attempt; the first one needs no allocation.
func (s *Segment) newAttempt() *Attempt {
	if s.firstAttempt.Segment == nil {
		return &s.firstAttempt
	}
	return new(Attempt)
}

// removeAttempt takes a live attempt off the segment.
func (s *Segment) removeAttempt(a *Attempt) {
	a.pending = false
	if i := slices.Index(s.pending, a); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
	}
}
