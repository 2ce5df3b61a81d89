package history

import (
	"fmt"
	"sort"
	"time"
)

// Invariant is the name of a property that Check verifies.
type Invariant string

// The invariants, in the order in which they are reported.
const (
	// OneSnapshot: all parts of an answer come from one index snapshot.
	OneSnapshot Invariant = "one_snapshot"
	// TrueCoverage: the coverage reported in an answer matches what was executed.
	TrueCoverage Invariant = "true_coverage"
	// OwnAnswer: each caller gets the complete answer to its own request.
	OwnAnswer Invariant = "own_answer"
	// NotRun: a request answered "not run" was executed by no server.
	NotRun Invariant = "not_run"
	// AtMostOnce: a non-repeatable request is executed at most once.
	AtMostOnce Invariant = "at_most_once"
	// LeavingServer: a leaving server gets no new requests after LeavingGrace.
	LeavingServer Invariant = "leaving_server"
	// PlannedStop: a planned stop interrupts no request in flight.
	PlannedStop Invariant = "planned_stop"
	// Configuration: an accepted configuration is in force at all nodes within
	// ConfigurationBound and is never reverted.
	Configuration Invariant = "configuration"
	// OneFinalAnswer: each call gets exactly one final answer by its deadline.
	OneFinalAnswer Invariant = "one_final_answer"
	// Recovery: within RecoveryBound after the last fault, the system gives
	// complete answers again.
	Recovery Invariant = "recovery"
)

// Invariants returns all invariants in the order in which they are reported.
func Invariants() []Invariant {
	return []Invariant{
		OneSnapshot, TrueCoverage, OwnAnswer, NotRun, AtMostOnce,
		LeavingServer, PlannedStop, Configuration, OneFinalAnswer, Recovery,
	}
}

// Options holds the time limits and tolerances that Check applies.
type Options struct {
	// AnswerAllowance is how long after its deadline a call may still be answered.
	AnswerAllowance time.Duration
	// LeavingGrace is how long a server may get new requests after it began to
	// leave.
	LeavingGrace time.Duration
	// ConfigurationBound is the time within which an accepted configuration must
	// be in force at every node that can receive it.
	ConfigurationBound time.Duration
	// RecoveryBound is the time after the last fault within which the system
	// must have recovered.
	RecoveryBound time.Duration
	// InFlightMargin is the time allowed for a message between caller and node:
	// a call counts as in flight at a planned stop only if it was sent at least
	// this long before, and an answer may reach the caller this much later.
	InFlightMargin time.Duration
}

// Defaults of Options.
const (
	DefaultAnswerAllowance    = 250 * time.Millisecond
	DefaultLeavingGrace       = 3 * time.Second
	DefaultConfigurationBound = 10 * time.Second
	DefaultRecoveryBound      = 10 * time.Second
	DefaultInFlightMargin     = 10 * time.Millisecond
)

// DefaultOptions returns the default time limits and tolerances.
func DefaultOptions() Options {
	return Options{
		AnswerAllowance:    DefaultAnswerAllowance,
		LeavingGrace:       DefaultLeavingGrace,
		ConfigurationBound: DefaultConfigurationBound,
		RecoveryBound:      DefaultRecoveryBound,
		InFlightMargin:     DefaultInFlightMargin,
	}
}

// Violation is one violation of an invariant.
type Violation struct {
	Invariant Invariant `json:"invariant"`
	// Subject names the request, server, node or plan concerned.
	Subject string `json:"subject"`
	// Evidence describes the observations in one line.
	Evidence string `json:"evidence"`
}

// String formats the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Invariant, v.Subject, v.Evidence)
}

// Report is the result of Check.
type Report struct {
	// Checked counts, per invariant, the items (answers, requests, servers, ...)
	// that could have violated it. Zero means that the invariant was not exercised.
	Checked map[Invariant]int `json:"judged"`
	// Violations are sorted by invariant and subject.
	Violations []Violation `json:"violations"`
	// KnownLimitations are violations under failures that the design does not
	// cover: a non-repeatable request was executed again after all nodes were lost.
	KnownLimitations []Violation `json:"limits"`
}

// Check verifies all invariants on a history.
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

// checker verifies one history. It indexes calls by ID, answers by call and
// attempts by request ID.
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

// countChecked counts one item that was checked for the invariant.
func (c *checker) countChecked(invariant Invariant) { c.report.Checked[invariant]++ }

func (c *checker) addViolation(invariant Invariant, subject, format string, arguments ...any) {
	c.report.Violations = append(c.report.Violations, Violation{
		Invariant: invariant, Subject: subject, Evidence: fmt.Sprintf(format, arguments...),
	})
}

// subject describes the call in violations.
func (call Call) subject() string {
	return fmt.Sprintf("request %s (call %d to %s)", call.RequestID, call.ID, call.Node)
}

// wasFrozen reports whether the node was frozen at any time between from and to.
func (c *checker) wasFrozen(node string, from, to time.Duration) bool {
	for _, disturbance := range c.history.Disturbances {
		overlaps := disturbance.From <= to && disturbance.To >= from
		if disturbance.Kind == Frozen && disturbance.Host == node && overlaps {
			return true
		}
	}
	return false
}

// runAt returns the run of the node that was in progress at the given time.
func (c *checker) runAt(node string, at time.Duration) (NodeRun, bool) {
	for _, run := range c.history.Runs {
		if run.Node == node && run.Start <= at && (run.End == 0 || run.End >= at) {
			return run, true
		}
	}
	return NodeRun{}, false
}
