package claim

// Decision is the state of a Round.
type Decision int

const (
	// Undecided means that answers are still outstanding.
	Undecided Decision = iota
	// Won means that the request may run: a majority of the owners recorded the
	// claim, and no answer named another holder.
	Won
	// Lost means that another holder has the request.
	Lost
	// Unavailable means that too few owners granted the claim, because they did
	// not answer or were full. The request must not run.
	Unavailable
)

// Round collects the owners' answers to one claim.
//
// Two rounds for the same key and the same owners cannot both be won: their
// majorities share an owner, and that owner grants only one of them. A Round
// nevertheless waits for all owners until the caller closes it, so that the
// claim is usually recorded at all of them and survives a change of owners.
type Round struct {
	owners  int
	granted int
	pending int
	held    bool
	holder  Holder
}

// NewRound returns a Round that waits for the answers of the given number of
// owners.
func NewRound(owners int) *Round { return &Round{owners: owners, pending: owners} }

// AddAnswer records an owner's answer. It must be called at most once per
// owner.
func (r *Round) AddAnswer(answer Answer) {
	r.pending--
	switch answer.Verdict {
	case Granted:
		r.granted++
	case Held:
		r.held = true
		r.holder = answer.Holder
	}
}

// AddFailure records that an owner cannot be reached.
func (r *Round) AddFailure() { r.pending-- }

// Close ends the round without waiting for outstanding answers.
func (r *Round) Close() { r.pending = 0 }

// Decision returns the state of the round. Once decided, it does not change.
func (r *Round) Decision() Decision {
	switch {
	case r.held:
		return Lost
	case r.pending > 0:
		return Undecided
	case r.HasMajority():
		return Won
	default:
		return Unavailable
	}
}

// HasMajority reports whether a majority of the owners has granted the claim.
func (r *Round) HasMajority() bool { return r.granted >= majority(r.owners) }

// Holder returns the node that has the request, once the round is lost.
func (r *Round) Holder() Holder { return r.holder }

// majority returns the smallest quorum, of which any two share an owner.
// Without owners it is zero, because there is nobody to ask.
func majority(owners int) int {
	if owners == 0 {
		return 0
	}
	return owners/2 + 1
}
