package rollout

import "time"

// Bounds are the limits configured for the deployment. The zero value disables roll-outs.
type Bounds struct {
	// ExposureShare is the fraction of a service's requests that a bad version may receive from all
	// nodes together, and ExposureSlack the number of requests beyond that.
	ExposureShare, ExposureSlack float64
	// RollbackTime is the time after the decisive bad answer within which the target may still receive
	// requests.
	RollbackTime time.Duration
}

// Enabled reports whether roll-outs are enabled.
func (b Bounds) Enabled() bool { return b.RollbackTime > 0 }

const (
	// viewAgeShare is the fraction of RollbackTime for which a node's view of the registry is recent
	// enough to send anything to the target. The rest is for reporting bad answers, for the decision and
	// for requests in flight.
	viewAgeShare = 0.7
	// decisionReserve is the time between the decision to move and the deadline, in addition to the
	// greatest age of a node's view. It covers moveNotice, minMoveTime and a decider's takeover.
	decisionReserve = 5 * time.Second
	// settleTime is for how long all nodes must have moved before the roll-out is completed.
	settleTime = 1500 * time.Millisecond
	// maxReserveShare is the fraction of an order's duration to which the reserve is limited.
	maxReserveShare = 0.5
	// loadTestTime is the time before the decision in which the target receives all that remains of its
	// limit at once, to be observed under load.
	loadTestTime = 2 * time.Second
	// earlyShare is the fraction of the limit that is used before the load test, and initialShare the
	// part of it that is available from the start, because many bad versions fail immediately.
	earlyShare   = 0.35
	initialShare = 0.25
	// maxLoadTestServers is the number of the target's servers that receive the load test, one after the
	// other, if the limit suffices: the first shows a server under load, and the second that the fault is
	// not in one server alone. A server is under load once it has received the fraction loadBuildUp of
	// the service's requests of one second, and loadTestAnswers more answers show how it behaves then.
	maxLoadTestServers = 2
	loadBuildUp        = 0.2
	loadTestAnswers    = 9
	// endWriteMargin is the time before the deadline at which the end of a roll-out is written at the
	// latest. It allows for three lost answers of the registry.
	endWriteMargin = 1200 * time.Millisecond
	// moveDecisionMargin is the time before the deadline at which a move is completed or rolled back at
	// the latest. Until then a target that is not proven healthy is observed with all traffic.
	moveDecisionMargin = 800 * time.Millisecond
	// rampTime is the time over which nodes move one after the other, so that servers and callers don't
	// see the whole change at once.
	rampTime = 400 * time.Millisecond
	// moveNotice is the time before a move in which all nodes learn of it. A move begins at most
	// maxMoveTime and at least minMoveTime before the deadline: by endWriteMargin, requests at the
	// previous servers must have ended and all nodes must have reported that.
	moveNotice  = 1600 * time.Millisecond
	maxMoveTime = 5 * time.Second
	minMoveTime = 2200 * time.Millisecond
	// preferredMoveTime is the duration of a move that leaves time for nodes that learn of it late.
	preferredMoveTime = 3200 * time.Millisecond
	// usableBoundShare is the fraction of the bound that a bad target may use in a move. The rest is for
	// requests that are not reported yet.
	usableBoundShare = 0.95
	// minDeviations is the number of standard deviations of the requests in a move that the bound must
	// cover, and preferredDeviations the number that it covers if shortening the move makes that
	// possible.
	minDeviations       = 1.0
	preferredDeviations = 2.5
	// reservedMoveTime is the duration of the move for which a node reserves part of its limit, unless
	// that needs more than maxReservedShare of the bound. minTargetSends requests are sent to the target
	// in any case, and minRareRouteSends on each rare route, counted over all nodes.
	reservedMoveTime  = 4300 * time.Millisecond
	maxReservedShare  = 0.62
	minTargetSends    = 10
	minRareRouteSends = 20
	// restartAllowance is added to the recorded age of an order if no node knows for how long all nodes
	// were down and no alarm shows it.
	restartAllowance = 5 * time.Second
	// maxAlarmTTL is the longest lease that the registry grants.
	maxAlarmTTL = 10 * time.Minute
)

// MaxViewAge returns the age of a node's view of the registry up to which the node may send requests
// to the target.
func (b Bounds) MaxViewAge() time.Duration {
	return time.Duration(viewAgeShare * float64(b.RollbackTime))
}

// decisionAt returns the age at which an order is decided, where maxViewAge is the greatest recent
// age of the view of the registry.
func decisionAt(duration, maxViewAge time.Duration) time.Duration {
	reserve := min(decisionReserve+maxViewAge, time.Duration(maxReserveShare*float64(duration)))
	return duration - reserve
}
