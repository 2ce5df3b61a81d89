package history

import (
	"fmt"
	"sort"
	"time"
)

// Invariant names what the Checker judges.
type Invariant string

// The invariants, in the order of reports.
const (
	// OneSnapshot: every answer comes from one index snapshot.
	OneSnapshot Invariant = "one_snapshot"
	// TrueCoverage: the coverage that an answer reports is true.
	TrueCoverage Invariant = "true_coverage"
	// OwnAnswer: each caller gets the whole answer to its own request.
	OwnAnswer Invariant = "own_answer"
	// NotRun: a request answered "not run" ran on no server.
	NotRun Invariant = "not_run"
	// AtMostOnce: a request that is not repeatable runs at most once.
	AtMostOnce Invariant = "at_most_once"
	// LeavingServer: a leaving server gets no new work after a few seconds.
	LeavingServer Invariant = "leaving_server"
	// PlannedStop: a planned stop cuts no request in flight.
	PlannedStop Invariant = "planned_stop"
	// Configuration: an accepted configuration is in force everywhere within
	// seconds and never reverts.
	Configuration Invariant = "configuration"
	// OneFinalAnswer: each call gets exactly one final answer by its deadline.
	OneFinalAnswer Invariant = "one_final_answer"
	// Recovery: after the faults the system is whole again within a stated time.
	Recovery Invariant = "recovery"
)

// Invariants lists all that the Checker judges.
func Invariants() []Invariant {
	return []Invariant{
		OneSnapshot, TrueCoverage, OwnAnswer, NotRun, AtMostOnce,
		LeavingServer, PlannedStop, Configuration, OneFinalAnswer, Recovery,
	}
}

// Options are the allowances of the Checker.
type Options struct {
	// AnswerAllowance is how long after its deadline a call may be answered.
	AnswerAllowance time.Duration
	// LeavingGrace is how long after it began to leave a server may get new work.
	LeavingGrace time.Duration
	// ConfigurationBound is the time within which an accepted configuration is
	// in force at every node that can hear of it.
	ConfigurationBound time.Duration
	// RecoveryBound is the time after the last fault within which the system
	// is whole again.
	RecoveryBound time.Duration
	// InFlightMargin is how long before a planned stop a call must have been
	// sent to count as in flight at the node, and how long an answer may be
	// under way.
	InFlightMargin time.Duration
}

// Default allowances.
const (
	DefaultAnswerAllowance    = 250 * time.Millisecond
	DefaultLeavingGrace       = 3 * time.Second
	DefaultConfigurationBound = 10 * time.Second
	DefaultRecoveryBound      = 10 * time.Second
	DefaultInFlightMargin     = 10 * time.Millisecond
)

// DefaultOptions returns the default allowances.
func DefaultOptions() Options {
	return Options{
		AnswerAllowance:    DefaultAnswerAllowance,
		LeavingGrace:       DefaultLeavingGrace,
		ConfigurationBound: DefaultConfigurationBound,
		RecoveryBound:      DefaultRecoveryBound,
		InFlightMargin:     DefaultInFlightMargin,
	}
}

// Violation is one breach of an invariant with its evidence.
type Violation struct {
	Invariant Invariant `json:"invariant"`
	// Subject names the request, server or node.
	Subject string `json:"subject"`
	// Evidence tells what was found, in one line.
	Evidence string `json:"evidence"`
}

// String formats the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Invariant, v.Subject, v.Evidence)
}

// Report is the result of judging one history.
type Report struct {
	// Checked counts per invariant the items (answers, requests, servers, ...)
	// that could have breached it. Zero means that nothing was shown.
	Checked map[Invariant]int `json:"judged"`
	// Violations are sorted by invariant and subject.
	Violations []Violation `json:"violations"`
	// KnownLimitations are breaches under failures that the design is known not to cover:
	// a request that is not repeatable ran again once every node was lost.
	KnownLimitations []Violation `json:"limits"`
}

// Check judges a history.
func Check(history *History, options Options) Report {
	c := newChecker(history, options)
	c.checkAnswers()
	c.checkExecutions()
	c.checkLeaving()
	c.checkPlannedStops()
	c.checkConfigurations()
	c.checkConfirmations()
	c.checkLiveness()
	c.checkRecovery()
	sort.SliceStable(c.report.Violations, func(i, j int) bool {
		one, other := c.report.Violations[i], c.report.Violations[j]
		if one.Invariant != other.Invariant {
			return one.Invariant < other.Invariant
		}
		return one.Subject < other.Subject
	})
	return c.report
}

// checker holds the indexes over one history.
type checker struct {
	history *History
	options Options
	report  Report

	calls             map[CallID]Call
	answers           map[CallID][]Answer
	attemptsByRequest map[string][]Attempt
}

func newChecker(history *History, options Options) *checker {
	c := &checker{
		history:           history,
		options:           options,
		report:            Report{Checked: make(map[Invariant]int)},
		calls:             make(map[CallID]Call),
		answers:           make(map[CallID][]Answer),
		attemptsByRequest: make(map[string][]Attempt),
	}
	for _, call := range history.Calls {
		c.calls[call.ID] = call
	}
	for _, answer := range history.Answers {
		c.answers[answer.Call] = append(c.answers[answer.Call], answer)
	}
	for _, attempt := range history.Attempts {
		c.attemptsByRequest[attempt.RequestID] = append(c.attemptsByRequest[attempt.RequestID], attempt)
	}
	return c
}

// countChecked counts one item.
func (c *checker) countChecked(invariant Invariant) { c.report.Checked[invariant]++ }

func (c *checker) addViolation(invariant Invariant, subject, format string, arguments ...any) {
	c.report.Violations = append(c.report.Violations, Violation{
		Invariant: invariant, Subject: subject, Evidence: fmt.Sprintf(format, arguments...),
	})
}

// subject names a call.
func (call Call) subject() string {
	return fmt.Sprintf("request %s (call %d to %s)", call.RequestID, call.ID, call.Node)
}

// wasFrozen reports whether the node was frozen at some time of the interval.
func (c *checker) wasFrozen(node string, from, to time.Duration) bool {
	for _, disturbance := range c.history.Disturbances {
		overlaps := disturbance.From <= to && disturbance.To >= from
		if disturbance.Kind == Frozen && disturbance.Host == node && overlaps {
			return true
		}
	}
	return false
}

// runAt returns the run of a node that covers the time.
func (c *checker) runAt(node string, at time.Duration) (NodeRun, bool) {
	for _, run := range c.history.Runs {
		if run.Node == node && run.Start <= at && (run.End == 0 || run.End >= at) {
			return run, true
		}
	}
	return NodeRun{}, false
}
