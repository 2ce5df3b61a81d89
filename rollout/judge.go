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
	// leastAnswers is the number of answers without which nothing is sound, and
	// leastOnRoute the same on each route that had busyShare of the answers.
	leastAnswers = 8
	leastOnRoute = 2
	busyShare    = 0.1
	// rareShare is the part of an even part of the requests below which a route is rare.
	rareShare = 0.5
	// mostReporters bounds the processes that are remembered.
	mostReporters = 4096
	// mostRoutes bounds the routes that are judged apart.
	mostRoutes = 32
)

// Judge weighs what all nodes have seen of one order. It is not safe for concurrent use.
type Judge struct {
	// taken is what each process told last, by node and process.
	taken map[reporter]map[cellKey]Counts
	// whole and routes are of the target, and base and bases of the versions before.
	whole  *sums
	routes map[string]*sums
	base   shares
	bases  map[string]*shares
	fresh  shares // of all routes
	// loaded is of the answers of servers under load, and loads tell those.
	loaded *sums
	loads  loads
	fadeAt time.Duration
	// nonsense counts the reports that could not be.
	nonsense int
	bad      bool
	why      string
}

// reporter is a process that reports; its cells of the target and of the versions before
// are told apart by their server.
type reporter struct{ node, process string }

// NewJudge returns a judge that has heard nothing.
func NewJudge() *Judge {
	return &Judge{
		taken:  make(map[reporter]map[cellKey]Counts),
		whole:  newSums(),
		loaded: newSums(),
		loads:  loads{of: make(map[string]float64)},
		routes: make(map[string]*sums),
		bases:  make(map[string]*shares),
	}
}

// AddReport weighs what is new in a report. One that tells less than an earlier one of the same
// process, or more bad answers than answers, changes nothing.
func (j *Judge) AddReport(now time.Duration, report Report) {
	from := reporter{report.Node, report.Process}
	known := j.taken[from]
	if known == nil && len(j.taken) >= mostReporters {
		return
	}
	before, soundBefore := added(known, report.Before)
	target, soundTarget := added(known, report.Target)
	if !soundBefore || !soundTarget {
		j.nonsense++
		return
	}
	if known == nil {
		known = make(map[cellKey]Counts)
		j.taken[from] = known
	}
	for _, cell := range slices.Concat(report.Before, report.Target) {
		known[cellKey{cell.Route, cell.Server}] = cell.Counts
	}
	j.fade(now)
	j.loads.add(now, before, target)
	for _, cell := range before {
		j.base.add(cell.Counts)
		j.fresh.add(cell.Counts)
		j.baseOf(cell.Route).add(cell.Counts)
	}
	for _, cell := range target {
		j.weigh(report.Node, cell)
	}
	j.conclude()
}

// added lists what cells tell beyond what is known; ok is false when that is nonsense.
func added(known map[cellKey]Counts, told []Cell) (more []Cell, ok bool) {
	for _, cell := range told {
		difference, sound := cell.minus(known[cellKey{cell.Route, cell.Server}])
		if !sound {
			return nil, false
		}
		if difference.Answers > 0 {
			more = append(more, Cell{Route: cell.Route, Server: cell.Server, Counts: difference})
		}
	}
	return more, true
}

func (j *Judge) fade(now time.Duration) {
	passed := float64(max(now-j.fadeAt, 0))
	j.fadeAt = max(j.fadeAt, now)
	kept := math.Exp2(-passed / float64(baseHalfLife))
	j.base.fade(kept, leastKept)
	for _, base := range j.bases {
		base.fade(kept, leastKept)
	}
	j.fresh.fade(math.Exp2(-passed/float64(freshHalfLife)), 0)
}

func (j *Judge) baseOf(route string) *shares {
	base := j.bases[route]
	if base == nil {
		base = new(shares)
		if len(j.bases) < mostRoutes {
			j.bases[route] = base
		}
	}
	return base
}

// weigh adds new answers of the target to the sums.
func (j *Judge) weigh(node string, cell Cell) {
	base := j.baseOf(cell.Route)
	var ratios [kinds]float64
	for k := range kinds {
		usual := base.most(k, j.base.of(k, least[k]))
		if j.fresh.answers >= freshAnswers {
			usual = max(usual, j.fresh.most(k, least[k]))
		}
		ratios[k] = logRatio(cell.Counts, k, usual)
	}
	scope := j.routes[cell.Route]
	if scope == nil && len(j.routes) < mostRoutes {
		scope = newSums()
		j.routes[cell.Route] = scope
	}
	scopes := []*sums{j.whole, scope}
	if j.loads.loaded(cell.Server) {
		scopes = append(scopes, j.loaded)
	}
	for _, one := range scopes {
		if one != nil {
			one.add(ratios, cell.Answers, "server "+cell.Server, "node "+node)
		}
	}
}

// BadUnderLoad reports whether the answers under load are bad, whichever servers gave them.
func (j *Judge) BadUnderLoad() bool {
	return slices.Max(j.loaded.all[:]) >= badThreshold && !j.loaded.clear(loadedThreshold)
}

// Suspicious reports whether the latest answers speak against the target, whichever one
// server's or node's are left out, though they don't prove it bad.
func (j *Judge) Suspicious() bool {
	return slices.ContainsFunc([]*sums{j.whole, j.loaded}, func(s *sums) bool {
		return s.over(failures, suspicion, withoutSuspicion) || s.over(slowness, suspicion, withoutSuspicion)
	})
}

var kindNames = [kinds]string{failures: "failures", slowness: "slow answers"}

// conclude looks whether the target is bad; it stays so.
func (j *Judge) conclude() {
	if j.bad {
		return
	}
	onRoute := badThreshold + math.Log(float64(max(len(j.routes), 1)))
	for k := range kinds {
		if j.whole.bad(k, badThreshold) {
			j.bad, j.why = true, kindNames[k]
			return
		}
		for _, route := range slices.Sorted(maps.Keys(j.routes)) {
			if j.routes[route].bad(k, onRoute) {
				j.bad, j.why = true, kindNames[k]+" on route "+route
				return
			}
		}
	}
}

// Verdict is what the evidence says up to now, and what decided it.
func (j *Judge) Verdict() (verdict Verdict, why string) {
	if j.bad {
		return Bad, j.why
	}
	if j.whole.answers < leastAnswers {
		return Undecided, "too few answers of the target"
	}
	for _, route := range slices.Sorted(maps.Keys(j.bases)) {
		if float64(j.bases[route].all) < busyShare*float64(j.base.all) {
			continue
		}
		if tried := j.routes[route]; tried == nil || tried.answers < leastOnRoute {
			return Undecided, "too few answers of the target on route " + route
		}
	}
	const sound = "no more failures and slow answers than before"
	if j.proven() {
		return ProvenHealthy, sound
	}
	return Healthy, sound
}

// proven reports whether the answers of each route, and those under load, exclude a bad target.
func (j *Judge) proven() bool {
	for route, base := range j.bases {
		threshold := clearThreshold
		if isRare(base.all, j.base.all, len(j.bases)) {
			threshold = rareThreshold
		}
		if tried := j.routes[route]; tried == nil || !tried.clear(threshold) {
			return false
		}
	}
	return j.loaded.clear(loadedThreshold)
}

// isRare reports whether so few of a service's requests come on one of its routes that each is
// needed to judge a target by.
func isRare(onRoute, all, routes int) bool {
	return routes > 1 && float64(onRoute) < rareShare*float64(all)/float64(routes)
}

// AnswersPerSecond is the number of the service's requests that were answered a second of late.
func (j *Judge) AnswersPerSecond(now time.Duration) float64 { return j.loads.perSecond(now) }

// Answers counts the target's answers, and those of them that were bad, over all processes.
func (j *Judge) Answers() (answers, bad int) {
	for _, cells := range j.taken {
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
	for _, cells := range j.taken {
		for _, counts := range cells {
			answers += counts.Answers
		}
	}
	return answers
}

// InvalidReports counts the reports that could not be.
func (j *Judge) InvalidReports() int { return j.nonsense }
