package policy

// Outcome describes whether a plan is in effect.
type Outcome string

// Outcomes of a plan.
const (
	// OutcomeApplied means that the plan created the receipt's revision.
	OutcomeApplied Outcome = "applied"
	// OutcomeNotApplied means that the plan is not in effect, and will not be
	// unless it is confirmed again.
	OutcomeNotApplied Outcome = "not_applied"
	// OutcomeUnknown means that the plan may be in effect or may still take
	// effect.
	OutcomeUnknown Outcome = "unknown"
)

// Receipt is the result of confirming or looking up a plan.
type Receipt struct {
	PlanID  string  `json:"plan_id"`
	Outcome Outcome `json:"outcome"`
	// Revision is the revision that the plan created; zero unless it was
	// applied.
	Revision Revision `json:"revision,omitempty"`
	// Current is the highest revision known to the node.
	Current Revision `json:"current"`
	// AlreadyApplied is set if the plan had been applied before this
	// confirmation.
	AlreadyApplied bool `json:"repeated,omitempty"`
	// Detail explains an outcome other than applied.
	Detail string `json:"detail,omitempty"`
}
