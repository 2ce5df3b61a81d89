package soak

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/platform/standin"
)

// Invariants that are checked here and not by package history.
const (
	// UnexpectedExit: no process exits unasked, and a planned stop ends in time with exit code
	// zero.
	UnexpectedExit history.Invariant = "own_end"
	// RouteNotFound: no caller is told that a route does not exist which all configurations
	// contain, or that its request is invalid.
	RouteNotFound history.Invariant = "denied"
	// Budget: the attempts after the first one of each request stay within the budget of each
	// service.
	Budget history.Invariant = "budget"
	// Exposure: a defective version gets no more than its share of the requests, and none after the
	// rollback bound.
	Exposure history.Invariant = "exposure"
	// RolloutEnd: each roll-out ends by its deadline, and a defective version is not completed.
	RolloutEnd history.Invariant = "rollout_end"
	// Evacuation: an evacuated zone gets no requests after the evacuation bound.
	Evacuation history.Invariant = "evacuation"
	// RepeatedCrashes: a request that crashes the servers that run it is not sent to servers
	// indefinitely.
	RepeatedCrashes history.Invariant = "repeats"
	// Resources: processes release file descriptors and memory after the load has ended.
	Resources history.Invariant = "resources"
	// Memory: no process exceeds the memory limit in its settings.
	Memory history.Invariant = "memory"
)

// Invariants lists all invariants that a soak checks, in the order of reports.
func Invariants() []history.Invariant {
	return append(history.Invariants(), UnexpectedExit, RouteNotFound, Budget, Exposure, RolloutEnd, Evacuation, RepeatedCrashes, Resources, Memory)
}

// Violation is one violation of an invariant with its evidence.
type Violation = history.Violation

// Bounds that are configured at the nodes and applied by the checks.
const (
	applyBound    = 3 * time.Second
	drainBound    = 3 * time.Second
	evacuateBound = 3 * time.Second
	rollbackBound = 5 * time.Second
	budgetRatio   = 0.2
	budgetExtra   = 56
	budgetWindow  = 10 * time.Second
	exposureShare = 0.1
	exposureSlack = 50
	// rollbackResponses is the number of defective responses after which a version gets no requests
	// once rollbackBound has passed.
	rollbackResponses = 50
	// RecoveryBound is the time within which the system recovers fully after the last fault.
	RecoveryBound = 12 * time.Second
	// answerAllowance is the time after its deadline within which a request may still be answered;
	// the platform's rules set it.
	answerAllowance = 500 * time.Millisecond
	// inFlightMargin is the time that a request or response may be in transit on a busy machine.
	inFlightMargin = 200 * time.Millisecond
)

// record holds everything that was observed in a soak.
type record struct {
	history     *history.History
	evacuations []evacuation
	rollouts    []rollout
	// arrivals are the requests that servers received, ordered by time.
	arrivals []arrival
	// bad holds the times of defective responses of the roll-outs' target version.
	bad []time.Duration
	// crashTimes holds the times at which servers crashed under requests, by request target.
	crashTimes map[string][]time.Duration
}

// arrival is a request that a server received.
type arrival struct {
	at                             time.Duration
	request, server, service, zone string
	version, caller, target        string
	executed                       bool
}

// record combines the history with the observations of the servers. Times are relative to epoch.
func (f *fleet) record(epoch time.Time) *record {
	r := &record{history: f.recorder.Finish()}
	f.mutex.Lock()
	r.crashTimes = maps.Clone(f.crashTimes)
	r.evacuations = slices.Clone(f.evacuations)
	for _, o := range f.rollouts {
		r.rollouts = append(r.rollouts, *o)
	}
	f.mutex.Unlock()
	nodes := make(map[string]string)
	for _, call := range r.history.Calls {
		nodes[call.RequestID] = call.Node
	}
	for _, s := range f.allServers() {
		r.addServer(s, nodes, epoch)
	}
	slices.SortStableFunc(r.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	slices.Sort(r.bad)
	r.history.KeySpaces = []history.KeySpace{
		{Service: searchService, Range: coverage.Range{End: shardCount}}, {Service: singleService, Range: singleRange},
	}
	return r
}

// addServer adds the requests that a server received and its defective responses. nodes maps
// request IDs to the nodes that the callers sent them to.
func (r *record) addServer(s *server, nodes map[string]string, epoch time.Time) {
	covered := singleRange
	if s.set > 0 {
		covered = shardRange(s.shard)
	}
	s.Set(func() {
		executions := make(map[string]int)
		for _, execution := range s.Executions {
			executions[execution.ID]++
		}
		for index, received := range s.Received {
			executed := executions[received.ID] > 0
			executions[received.ID]--
			at := received.At.Sub(epoch)
			r.arrivals = append(r.arrivals, arrival{
				at: at, request: received.ID, server: s.ID, service: s.Service, zone: s.Zone, version: s.Version, caller: nodes[received.ID], executed: executed, target: received.Target,
			})
			r.history.Attempts = append(r.history.Attempts, history.Attempt{
				Server: s.ID, AttemptID: fmt.Sprintf("%s/%d", s.ID, index), RequestID: received.ID, Service: s.Service,
				Snapshot: uint64(s.set), Range: covered, SentAt: at, ArrivedAt: at, Executed: executed,
			})
		}
		for _, at := range s.DefectiveResponses {
			r.bad = append(r.bad, at.Sub(epoch))
		}
	})
}

// Report is the result of a soak.
type Report struct {
	Schedule   Schedule
	Checked    map[history.Invariant]int
	Violations []Violation
	// SentRequests is the number of requests that callers and probers sent, and Succeeded that of
	// the ones answered with a result.
	SentRequests, Succeeded int
	// ReceivedRequests is the number of requests that servers received, and Configurations that of
	// the versions that the operator wrote.
	ReceivedRequests, Configurations int
	// LongestPause is the longest pause of the soak's own process.
	LongestPause time.Duration
	// RolloutOutcome is the final state of the roll-out. It is empty if there was none, and "no
	// end" if it did not end.
	RolloutOutcome string
}

// check checks all invariants on the record.
func (r *record) check() (checked map[history.Invariant]int, violations []Violation) {
	options := history.DefaultOptions()
	options.AnswerAllowance, options.LeavingGrace = answerAllowance, drainBound
	options.ConfigurationBound, options.RecoveryBound, options.InFlightMargin = applyBound, RecoveryBound, inFlightMargin
	report := history.Check(r.history, options)
	c := &checker{record: r, checked: report.Checked, violations: report.Violations}
	c.checkRoutesFound()
	c.checkBudget()
	c.checkRollouts()
	c.checkEvacuations()
	c.checkRepeatedCrashes()
	return c.checked, c.violations
}

// checker checks the invariants that package history doesn't.
type checker struct {
	*record
	checked    map[history.Invariant]int
	violations []Violation
}

func (c *checker) addViolation(invariant history.Invariant, subject, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{Invariant: invariant, Subject: subject, Evidence: fmt.Sprintf(format, arguments...)})
}

// wasUndisturbed reports whether no disturbance of a node overlaps the given period.
func (r *record) wasUndisturbed(node string, from, to time.Duration) bool {
	return !slices.ContainsFunc(r.history.Disturbances, func(d history.Disturbance) bool {
		return d.Host == node && d.From <= to && d.To >= from
	})
}

// wereAllUndisturbed reports whether no disturbance of any node overlaps the given period.
func (r *record) wereAllUndisturbed(from, to time.Duration) bool {
	return !slices.ContainsFunc(r.history.Disturbances, func(d history.Disturbance) bool { return d.From <= to && d.To >= from })
}

// checkRoutesFound checks that no request of callers, apart from those for marker routes, was
// answered with "no route".
func (c *checker) checkRoutesFound() {
	calls := make(map[history.CallID]history.Call)
	for _, call := range c.history.Calls {
		calls[call.ID] = call
	}
	for _, answer := range c.history.Answers {
		call := calls[answer.Call]
		if answer.Reason == reasonInvalid {
			c.addViolation(RouteNotFound, call.RequestID, "%s at %s, sent at %s: %s", call.Class, call.Node, call.At, answer.Detail)
		}
		if strings.HasPrefix(call.Class, markerPrefix) || call.Class == optionalPath {
			continue
		}
		c.checked[RouteNotFound]++
		if answer.Reason == reasonNoRoute {
			c.addViolation(RouteNotFound, call.RequestID, "%s at %s, sent at %s: no such route", call.Class, call.Node, call.At)
		}
	}
}

// checkBudget checks the attempts after the first one of each request in each window, per service
// and over all nodes.
func (c *checker) checkBudget() {
	firsts, extras := make(map[string][]time.Duration), make(map[string][]time.Duration)
	seen := make(map[[2]string]bool)
	for _, a := range c.arrivals {
		key := [2]string{a.request, a.service}
		if seen[key] {
			extras[a.service] = append(extras[a.service], a.at)
		} else {
			firsts[a.service] = append(firsts[a.service], a.at)
		}
		seen[key] = true
	}
	for service, times := range firsts {
		c.checked[Budget] += len(times)
		for index, at := range extras[service] {
			windowStart, _ := slices.BinarySearch(extras[service][:index+1], at-budgetWindow)
			extraCount := index + 1 - windowStart
			requests := max(countWithin(times, at-budgetWindow, at), countWithin(times, at-budgetWindow*3/2, at-budgetWindow/2), countWithin(times, at-2*budgetWindow, at-budgetWindow))
			if float64(extraCount) > budgetRatio*float64(requests)+budgetExtra {
				c.addViolation(Budget, service, "%d extra sends in the window up to %s, %d requests", extraCount, at, requests)
				break
			}
		}
	}
}

// countWithin counts the times in a sorted list that lie from after, inclusive, to until,
// exclusive.
func countWithin(times []time.Duration, after, until time.Duration) int {
	first, _ := slices.BinarySearch(times, after)
	last, _ := slices.BinarySearch(times, until)
	return last - first
}

// checkRollouts checks how many requests defective versions got from undisturbed nodes, and how the
// roll-outs ended. Disturbed nodes are left out because a node that cannot reach the store may know
// a version's servers but not yet its roll-out.
func (c *checker) checkRollouts() {
	for _, o := range c.rollouts {
		c.checkRolloutEnd(o)
		if o.bad == NoDefect {
			continue
		}
		c.checked[Exposure]++
		until := o.deadline
		if o.replacedAt > 0 {
			until = o.replacedAt
		}
		total, targetCount := 0, 0
		var last arrival
		for _, a := range c.arrivals {
			if a.service != ledgerService || a.at < o.at || a.at > until {
				continue
			}
			total++
			if a.version != o.target {
				continue
			}
			last = a
			if a.caller == "" || c.wasUndisturbed(a.caller, a.at-reconnectTime, a.at) {
				targetCount++
			}
		}
		if float64(targetCount) > exposureShare*float64(total)+exposureSlack {
			c.addViolation(Exposure, o.target, "a version that is bad (%s) got %d of %d requests", o.bad, targetCount, total)
		}
		c.checkRollback(o, last)
	}
}

// checkRolloutEnd checks how a roll-out ended. A version that is only defective under load may be
// completed, because the generated traffic need not load it.
func (c *checker) checkRolloutEnd(o rollout) {
	c.checked[RolloutEnd]++
	if o.ended == standin.RolloutCompleted && o.bad != NoDefect && o.bad != FailsUnderLoad {
		c.addViolation(RolloutEnd, o.target, "a version that is bad (%s) was put in force at %s", o.bad, o.endedAt)
	}
	endedInTime := o.ended != "" && o.endedAt <= o.deadline
	if o.replacedAt == 0 && !endedInTime && c.wereAllUndisturbed(o.deadline-reconnectTime, o.deadline) {
		c.addViolation(RolloutEnd, o.target, "no end by %s: %s at %s", o.deadline, cmp.Or(o.ended, "none"), o.endedAt)
	}
}

// checkRollback checks that a defective version got no requests later than rollbackBound after its
// defective responses.
func (c *checker) checkRollback(o rollout, last arrival) {
	if len(c.bad) < rollbackResponses {
		return
	}
	limit := c.bad[rollbackResponses-1] + rollbackBound
	if last.at > limit && c.wasUndisturbed(last.caller, c.bad[rollbackResponses-1]-reconnectTime, last.at) {
		c.addViolation(Exposure, o.target, "bad answer %d was at %s, the last request came at %s", rollbackResponses, c.bad[rollbackResponses-1], last.at)
	}
}

// checkEvacuations checks that evacuated zones got no requests from undisturbed nodes after
// evacuateBound.
func (c *checker) checkEvacuations() {
	for _, e := range c.evacuations {
		c.checked[Evacuation]++
		until := e.until
		if until == 0 {
			until = c.history.End
		}
		for _, a := range c.arrivals {
			if a.zone != e.zone || a.at < e.from+evacuateBound || a.at > until {
				continue
			}
			if a.caller == "" || c.wasUndisturbed(a.caller, e.from, a.at) {
				c.addViolation(Evacuation, a.server, "zone %s was to be empty from %s; request %s of %s came at %s", e.zone, e.from, a.request, a.caller, a.at)
				break
			}
		}
	}
}
