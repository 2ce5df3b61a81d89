package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Verdict is what the evidence says of a target.
type Verdict int

const (
	// Undecided is that too few answers say too little.
	Undecided Verdict = iota
	// Healthy is that there are enough answers, and none of the sums says otherwise.
	Healthy
	// ProvenHealthy is that the answers of each route exclude a version that is bad there, and those
	// under load one that is bad under load.
	ProvenHealthy
	// Bad is that the answers are worse than those of the versions before.
	Bad
)

const (
	// minAnswers is the number of answers without which nothing is sound, and
	// minRouteAnswers the same on each route that had busyShare of the answers.
	minAnswers      = 8
	minRouteAnswers = 2
	busyRouteShare  = 0.1
	// rareRouteShare is the part of an even part of the requests below which a route is rare.
	rareRouteShare = 0.5
	// maxReporters bounds the processes that are remembered.
	maxReporters = 4096
	// maxRoutes bounds the routes that are judged apart.
	maxRoutes = 32
)

// Judge weighs what all nodes have seen of one order. It is not safe for concurrent use.
type Judge struct {
	// lastCounts is what each process told last, by node and process.
	lastCounts map[reporter]map[cellKey]Counts
	// overall and routes are of the target, and base and bases of the versions before.
	overall        *cusums
	routes         map[string]*cusums
	baseline       baselineShares
	routeBaselines map[string]*baselineShares
	recentBaseline baselineShares // of all routes
	// underLoad is of the answers of servers under load, and loads tell those.
	underLoad  *cusums
	serverLoad serverLoad
	decayedAt  time.Duration
	// invalidReports counts the reports that could not be.
	invalidReports int
	isBad          bool
	reason         string
}

// reporter is a process that reports; its cells of the target and of the versions before
// are told apart by their server.
type reporter struct{ node, process string }

// NewJudge returns a judge that has heard nothing.
func NewJudge() *Judge {
	return &Judge{
		lastCounts:     make(map[reporter]map[cellKey]Counts),
		overall:        newCusums(),
		underLoad:      newCusums(),
		serverLoad:     serverLoad{byServer: make(map[string]float64)},
		routes:         make(map[string]*cusums),
		routeBaselines: make(map[string]*baselineShares),
	}
}

// AddReport weighs what is new in a report. One that tells less than an earlier one of the same
// process, or more bad answers than answers, changes nothing.
func (j *Judge) AddReport(now time.Duration, report Report) {
	from := reporter{report.Node, report.Process}
	known := j.lastCounts[from]
	if known == nil && len(j.lastCounts) >= maxReporters {
		return
	}
	before, soundBefore := subtractKnown(known, report.Before)
	target, soundTarget := subtractKnown(known, report.Target)
	if !soundBefore || !soundTarget {
		j.invalidReports++
		return
	}
	if known == nil {
		known = make(map[cellKey]Counts)
		j.lastCounts[from] = known
	}
	for _, cell := range slices.Concat(report.Before, report.Target) {
		known[cellKey{cell.Route, cell.Server}] = cell.Counts
	}
	j.decay(now)
	j.serverLoad.add(now, before, target)
	for _, cell := range before {
		j.baseline.add(cell.Counts)
		j.recentBaseline.add(cell.Counts)
		j.baselineOf(cell.Route).add(cell.Counts)
	}
	for _, cell := range target {
		j.addTargetAnswers(report.Node, cell)
	}
	j.checkBad()
}

// subtractKnown lists what cells tell beyond what is known; ok is false when that is nonsense.
func subtractKnown(known map[cellKey]Counts, reported []Cell) (added []Cell, ok bool) {
	for _, cell := range reported {
		difference, sound := cell.subtract(known[cellKey{cell.Route, cell.Server}])
		if !sound {
			return nil, false
		}
		if difference.Answers > 0 {
			added = append(added, Cell{Route: cell.Route, Server: cell.Server, Counts: difference})
		}
	}
	return added, true
}

func (j *Judge) decay(now time.Duration) {
	passed := float64(max(now-j.decayedAt, 0))
	j.decayedAt = max(j.decayedAt, now)
	factor := math.Exp2(-passed / float64(baselineHalfLife))
	j.baseline.decay(factor, minBaselineWeight)
	for _, baseline := range j.routeBaselines {
		baseline.decay(factor, minBaselineWeight)
	}
	j.recentBaseline.decay(math.Exp2(-passed/float64(recentHalfLife)), 0)
}

func (j *Judge) baselineOf(route string) *baselineShares {
	baseline := j.routeBaselines[route]
	if baseline == nil {
		baseline = new(baselineShares)
		if len(j.routeBaselines) < maxRoutes {
			j.routeBaselines[route] = baseline
		}
	}
	return baseline
}

// addTargetAnswers adds new answers of the target to the sums.
func (j *Judge) addTargetAnswers(node string, cell Cell) {
	baseline := j.baselineOf(cell.Route)
	var ratios [numKinds]float64
	for k := range numKinds {
		baseShare := baseline.upperBound(k, j.baseline.estimate(k, minBaselineShare[k]))
		if j.recentBaseline.answers >= minRecentAnswers {
			baseShare = max(baseShare, j.recentBaseline.upperBound(k, minBaselineShare[k]))
		}
		ratios[k] = logRatio(cell.Counts, k, baseShare)
	}
	scope := j.routes[cell.Route]
	if scope == nil && len(j.routes) < maxRoutes {
		scope = newCusums()
		j.routes[cell.Route] = scope
	}
	scopes := []*cusums{j.overall, scope}
	if j.serverLoad.underLoad(cell.Server) {
		scopes = append(scopes, j.underLoad)
	}
	for _, one := range scopes {
		if one != nil {
			one.add(ratios, cell.Answers, "server "+cell.Server, "node "+node)
		}
	}
}

// BadUnderLoad reports whether the answers under load are bad, whichever servers gave them.
func (j *Judge) BadUnderLoad() bool {
	return slices.Max(j.underLoad.unhealthy[:]) >= badThreshold && !j.underLoad.clear(loadedThreshold)
}

// Suspicious reports whether the latest answers speak against the target, whichever one
// server's or node's are left out, though they don't prove it bad.
func (j *Judge) Suspicious() bool {
	return slices.ContainsFunc([]*cusums{j.overall, j.underLoad}, func(s *cusums) bool {
		return s.exceeds(failures, suspicionThreshold, othersSuspicionThreshold) || s.exceeds(slowness, suspicionThreshold, othersSuspicionThreshold)
	})
}

var kindNames = [numKinds]string{failures: "failures", slowness: "slow answers"}

// checkBad looks whether the target is bad; it stays so.
func (j *Judge) checkBad() {
	if j.isBad {
		return
	}
	onRoute := badThreshold + math.Log(float64(max(len(j.routes), 1)))
	for k := range numKinds {
		if j.overall.isBad(k, badThreshold) {
			j.isBad, j.reason = true, kindNames[k]
			return
		}
		for _, route := range slices.Sorted(maps.Keys(j.routes)) {
			if j.routes[route].isBad(k, onRoute) {
				j.isBad, j.reason = true, kindNames[k]+" on route "+route
				return
			}
		}
	}
}

// Verdict is what the evidence says up to now, and what decided it.
func (j *Judge) Verdict() (verdict Verdict, reason string) {
	if j.isBad {
		return Bad, j.reason
	}
	if j.overall.answers < minAnswers {
		return Undecided, "too few answers of the target"
	}
	for _, route := range slices.Sorted(maps.Keys(j.routeBaselines)) {
		if float64(j.routeBaselines[route].total) < busyRouteShare*float64(j.baseline.total) {
			continue
		}
		if target := j.routes[route]; target == nil || target.answers < minRouteAnswers {
			return Undecided, "too few answers of the target on route " + route
		}
	}
	const sound = "no more failures and slow answers than before"
	if j.isProven() {
		return ProvenHealthy, sound
	}
	return Healthy, sound
}

// isProven reports whether the answers of each route, and those under load, exclude a bad target.
func (j *Judge) isProven() bool {
	for route, baseline := range j.routeBaselines {
		threshold := clearThreshold
		if isRareRoute(baseline.total, j.baseline.total, len(j.routeBaselines)) {
			threshold = rareThreshold
		}
		if target := j.routes[route]; target == nil || !target.clear(threshold) {
			return false
		}
	}
	return j.underLoad.clear(loadedThreshold)
}

// isRareRoute reports whether so few of a service's requests come on one of its routes that each is
// needed to judge a target by.
func isRareRoute(onRoute, all, routes int) bool {
	return routes > 1 && float64(onRoute) < rareRouteShare*float64(all)/float64(routes)
}

// AnswersPerSecond is the number of the service's requests that were answered a second of late.
func (j *Judge) AnswersPerSecond(now time.Duration) float64 {
	return j.serverLoad.answersPerSecond(now)
}

// Answers counts the target's answers, and those of them that were bad, over all processes.
func (j *Judge) Answers() (answers, bad int) {
	for _, cells := range j.lastCounts {
		for key, counts := range cells {
			if key.server != "" {
				answers += counts.Answers
				bad += counts.Failed + counts.Slow
			}
		}
	}
	return answers, bad
}

// AllAnswers counts the answers of all versions, over all processes.
func (j *Judge) AllAnswers() (answers int) {
	for _, cells := range j.lastCounts {
		for _, counts := range cells {
			answers += counts.Answers
		}
	}
	return answers
}

// InvalidReports counts the reports that could not be.
func (j *Judge) InvalidReports() int { return j.invalidReports }
