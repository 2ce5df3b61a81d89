package policy

// Outcome tells whether a plan is in effect.
type Outcome string

// Outcomes of a plan.
const (
	// OutcomeApplied: the plan made the receipt's revision.
	OutcomeApplied Outcome = "applied"
	// OutcomeNotApplied: the plan is not in effect, and won't be unless it is
	// confirmed again.
	OutcomeNotApplied Outcome = "not_applied"
	// OutcomeUnknown: the plan may be in effect, or may still take effect.
	OutcomeUnknown Outcome = "unknown"
)

// Receipt answers a confirmation and a look-up of a plan.
type Receipt struct {
	PlanID  string  `json:"plan_id"`
	Outcome Outcome `json:"outcome"`
	// Revision is the one that the plan made; zero unless it was applied.
	Revision Revision `json:"revision,omitempty"`
	// Current is the highest revision that the node knows.
	Current Revision `json:"current"`
	// AlreadyApplied says that the plan had been applied before this confirmation.
	AlreadyApplied bool `json:"repeated,omitempty"`
	// Detail explains an outcome other than applied.
	Detail string `json:"detail,omitempty"`
}
