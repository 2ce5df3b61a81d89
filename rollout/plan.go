package rollout

import "time"

// Bounds are what the operator's deployment allows; the zero value allows no roll-outs.
type Bounds struct {
	// ExposureShare is the part of a service's requests that a bad version may get from all
	// nodes together, and ExposureSlack the number beyond that.
	ExposureShare, ExposureSlack float64
	// RollbackTime is how long after the bad answer that is one too many the target may
	// still get requests.
	RollbackTime time.Duration
}

// Enabled reports whether versions are rolled out on request at all.
func (b Bounds) Enabled() bool { return b.RollbackTime > 0 }

const (
	// viewAgeShare is the part of RollbackTime for which a belief of the registry is good
	// enough to give the target anything; the rest is for telling the bad answers, for
	// deciding and for requests that are on their way.
	viewAgeShare = 0.7
	// decisionReserve is kept between a decision to move and the deadline, beside the greatest
	// age of a belief: moveNotice, minMoveTime, and the rest for a decider that takes over.
	decisionReserve = 5 * time.Second
	// settleTime is for how long all nodes have moved before that is final.
	settleTime = 1500 * time.Millisecond
	// maxReserveShare is the part of an order's duration that the reserve takes at most.
	maxReserveShare = 0.5
	// loadTestTime is the span before the decision in which the target gets all that is left of
	// the exposure at once: the load that it is to bear.
	loadTestTime = 2 * time.Second
	// earlyShare is the part of the exposure that is spent before that, and atOnce the part
	// of it that is spent at the beginning: many versions are bad at once.
	earlyShare   = 0.35
	initialShare = 0.25
	// maxLoadTestServers is the number of the target's servers that get that load, one after the
	// other, where there is enough for so many: a few requests show one server under load, and a
	// second one that it is not that server alone. A server is under load after loadBuildUp of the
	// service's requests of a second, and loadTestAnswers more tell how it is then.
	maxLoadTestServers = 2
	loadBuildUp        = 0.2
	loadTestAnswers    = 9
	// endWriteMargin is the time before the deadline at which the end is written at the latest:
	// three lost answers of the registry.
	endWriteMargin = 1200 * time.Millisecond
	// moveDecisionMargin is the time before the deadline at which a move ends at the latest, one way or
	// the other: until then it is seen what a target that is not proven does with all traffic.
	moveDecisionMargin = 800 * time.Millisecond
	// rampTime is the span over which nodes move one after the other, so that servers and callers
	// don't meet the change at one moment.
	rampTime = 400 * time.Millisecond
	// moveNotice is the time before a move in which all nodes hear of it, maxMoveTime is how
	// long before the deadline a move begins at the earliest, and minMoveTime at the latest: what
	// runs at the old servers ends, and all have told so, before endWriteMargin.
	moveNotice  = 1600 * time.Millisecond
	maxMoveTime = 5 * time.Second
	minMoveTime = 2200 * time.Millisecond
	// preferredMoveTime is a move in which nodes that hear late still have time.
	preferredMoveTime = 3200 * time.Millisecond
	// usableBoundShare is the part of the bound that the target may get in a move if it is bad; the
	// rest is for what was not reported yet.
	usableBoundShare = 0.95
	// minDeviations are the standard deviations of the requests in a move that the bound must
	// bear, and preferredDeviations those that it bears where a shorter move makes room for them.
	minDeviations       = 1.0
	preferredDeviations = 2.5
	// reservedMoveTime is that of a move for which a node holds back what it needs, if that is maxReservedShare
	// of the bound at most; minTargetSends is the number of requests by which a target is tried in
	// any case, and minRareRouteSends that on each rare route, of all nodes together.
	reservedMoveTime  = 4300 * time.Millisecond
	maxReservedShare  = 0.62
	minTargetSends    = 10
	minRareRouteSends = 20
	// restartAllowance is added to the age of an order that the record tells when nobody knows
	// how long all nodes were gone, and no alarm does.
	restartAllowance = 5 * time.Second
	// maxAlarmTTL is the longest lease of the registry.
	maxAlarmTTL = 10 * time.Minute
)

// MaxViewAge is how old a belief may be by which the target gets requests.
func (b Bounds) MaxViewAge() time.Duration {
	return time.Duration(viewAgeShare * float64(b.RollbackTime))
}

// decisionAt is how old an order is when it is decided, if the belief of the registry was
// so old at most of late.
func decisionAt(duration, maxViewAge time.Duration) time.Duration {
	reserve := min(decisionReserve+maxViewAge, time.Duration(maxReserveShare*float64(duration)))
	return duration - reserve
}
