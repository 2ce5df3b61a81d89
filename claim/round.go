package claim

// Decision is where a Round stands.
type Decision int

const (
	// Undecided means that an owner has not answered yet.
	Undecided Decision = iota
	// Won means that the request may run: a majority of the owners recorded the
	// claim, and no answer named another holder.
	Won
	// Lost means that another holder has the request.
	Lost
	// Unavailable means that too few owners answered, or had room. The request
	// must not run.
	Unavailable
)

// Round collects the owners' answers to one claim.
//
// Two rounds for the same key and the same owners can't both win: their
// majorities share an owner, and that owner grants only one of them. A Round
// nevertheless waits for every owner until its caller closes it, so that a
// claim usually stands at all of them and outlives a change of owners.
type Round struct {
	owners  int
	granted int
	pending int
	held    bool
	holder  Holder
}

// NewRound returns a Round that awaits the answers of so many owners.
func NewRound(owners int) *Round { return &Round{owners: owners, pending: owners} }

// AddAnswer takes an owner's answer; each owner answers once.
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

// AddFailure tells that an owner can't be reached.
func (r *Round) AddFailure() { r.pending-- }

// Close tells that no further answer is awaited.
func (r *Round) Close() { r.pending = 0 }

// Decision tells where the round stands. It changes no more once it is decided.
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

// Holder is the node that has the request, once the round is lost.
func (r *Round) Holder() Holder { return r.holder }

// majority is the least number of owners of which any two sets share one; of
// no owners, none is asked for.
func majority(owners int) int {
	if owners == 0 {
		return 0
	}
	return owners/2 + 1
}
