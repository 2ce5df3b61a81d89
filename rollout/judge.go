package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Verdict is the judge's current conclusion about a target version.
type Verdict int

const (
	// Undecided means that there are too few answers for a conclusion.
	Undecided Verdict = iota
	// Healthy means that there are enough answers and no sum indicates a regression.
	Healthy
	// ProvenHealthy means that the answers on every route exclude a version that is bad on that
	// route, and the answers under load exclude one that is bad under load.
	ProvenHealthy
	// Bad means that the answers are worse than those of the previous versions.
	Bad
)

const (
	// minAnswers is the number of answers below which the verdict is Undecided. minRouteAnswers
	// is the minimum for each route that has at least busyRouteShare of the answers.
	minAnswers      = 8
	minRouteAnswers = 2
	busyRouteShare  = 0.1
	// rareRouteShare is the fraction of an equal share of the requests below which a route is
	// rare.
	rareRouteShare = 0.5
	// maxReporters bounds the number of processes whose reports are kept.
	maxReporters = 4096
	// maxRoutes bounds the number of routes that are judged separately.
	maxRoutes = 32
)

// Judge evaluates the reports of all nodes on one order. It is not safe for concurrent use.
type Judge struct {
	// lastCounts holds the latest counts reported by each process.
	lastCounts map[reporter]map[cellKey]Counts
	// overall and routes are sums over the target's answers. baseline and routeBaselines hold the
	// answers of the previous versions.
	overall        *cusums
	routes         map[string]*cusums
	baseline       baselineShares
	routeBaselines map[string]*baselineShares
	recentBaseline baselineShares // over all routes
	// underLoad sums the answers of those servers that serverLoad finds to be under load.
	underLoad  *cusums
	serverLoad serverLoad
	decayedAt  time.Duration
	// invalidReports counts the reports with impossible counts.
	invalidReports int
	isBad          bool
	reason         string
}

// reporter identifies a reporting process. In its cells an empty server means the previous versions.
type reporter struct{ node, process string }

// NewJudge returns a judge without any reports.
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

// AddReport evaluates what a report adds to the previous one of the same process. A report whose
// counts are lower than before, or that has more bad answers than answers, is ignored.
func (j *Judge) AddReport(now time.Duration, report Report) {
	from := reporter{report.Node, report.Process}
	known := j.lastCounts[from]
	if known == nil && len(j.lastCounts) >= maxReporters {
		return
	}
	before, beforeOK := subtractKnown(known, report.Before)
	target, targetOK := subtractKnown(known, report.Target)
	if !beforeOK || !targetOK {
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

// subtractKnown returns the answers that were reported in addition to the known ones. ok is false
// if the counts are impossible.
func subtractKnown(known map[cellKey]Counts, reported []Cell) (added []Cell, ok bool) {
	for _, cell := range reported {
		difference, valid := cell.subtract(known[cellKey{cell.Route, cell.Server}])
		if !valid {
			return nil, false
		}
		if difference.Answers > 0 {
			added = append(added, Cell{Route: cell.Route, Server: cell.Server, Counts: difference})
		}
	}
	return added, true
}

// decay reduces the weight of earlier baseline answers for the time that has passed.
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

// baselineOf returns the baseline of a route. Beyond maxRoutes it returns an empty one that is
// not kept.
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

// BadUnderLoad reports whether the answers under load indicate a bad version, even if all of them
// came from one server or node, unless the answers without one of these sources exclude it.
func (j *Judge) BadUnderLoad() bool {
	return slices.Max(j.underLoad.unhealthy[:]) >= badThreshold && !j.underLoad.clear(loadedThreshold)
}

// Suspicious reports whether the latest answers indicate a bad target even if those of any one
// server or node are left out, without being sufficient for the verdict Bad.
func (j *Judge) Suspicious() bool {
	return slices.ContainsFunc([]*cusums{j.overall, j.underLoad}, func(s *cusums) bool {
		return s.exceeds(failures, suspicionThreshold, othersSuspicionThreshold) || s.exceeds(slowness, suspicionThreshold, othersSuspicionThreshold)
	})
}

var kindNames = [numKinds]string{failures: "failures", slowness: "slow answers"}

// checkBad sets the verdict Bad if a sum exceeds its threshold. The verdict is never taken back.
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

// Verdict returns the current verdict and its reason.
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
	const noRegression = "no more failures and slow answers than before"
	if j.isProven() {
		return ProvenHealthy, noRegression
	}
	return Healthy, noRegression
}

// isProven reports whether the answers on every route and those under load exclude a bad target.
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

// isRareRoute reports whether a route receives so few of the service's requests that each of them
// is needed to judge a target.
func isRareRoute(onRoute, all, routes int) bool {
	return routes > 1 && float64(onRoute) < rareRouteShare*float64(all)/float64(routes)
}

// AnswersPerSecond returns the recent rate of the service's answers, over all versions.
func (j *Judge) AnswersPerSecond(now time.Duration) float64 {
	return j.serverLoad.answersPerSecond(now)
}

// Answers returns the number of the target's answers reported by all processes, and how many of
// them were failed or slow.
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

// AllAnswers returns the number of answers of all versions reported by all processes.
func (j *Judge) AllAnswers() (answers int) {
	for _, cells := range j.lastCounts {
		for _, counts := range cells {
			answers += counts.Answers
		}
	}
	return answers
}

// InvalidReports returns the number of reports with impossible counts.
func (j *Judge) InvalidReports() int { return j.invalidReports }
