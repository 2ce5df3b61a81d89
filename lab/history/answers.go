package history

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/banksail/banksail/coverage"
)

// coverageTolerance is the largest rounding error accepted in a reported coverage.
const coverageTolerance = 1e-9

// checkAnswers checks the results and the "not run" refusals that callers received.
func (c *checker) checkAnswers() {
	for _, answer := range c.history.Answers {
		call, ok := c.calls[answer.Call]
		if !ok {
			continue
		}
		switch {
		case answer.Kind == AnswerResult:
			c.checkSnapshot(call, answer)
			c.checkCoverage(call, answer)
			c.checkOwnership(call, answer)
		case answer.Kind == AnswerRefusal && answer.Execution == ExecutionNotRun:
			c.checkNotRun(call, answer)
		}
	}
}

// findExecution returns the executed attempt that produced a part: one of the
// same request, at the server named in the part's body, whose range contains the
// part's. It prefers an attempt on the given snapshot.
func (c *checker) findExecution(part Part, snapshot uint64) (found Attempt, ok bool) {
	for _, attempt := range c.attemptsByRequest[part.RequestID] {
		if !attempt.Executed || attempt.Server != part.Server || !attempt.Range.Contains(part.Range) {
			continue
		}
		if attempt.Snapshot == snapshot {
			return attempt, true
		}
		found, ok = attempt, true
	}
	return found, ok
}

func (c *checker) checkSnapshot(call Call, answer Answer) {
	c.countChecked(OneSnapshot)
	for _, part := range answer.Parts {
		if part.Snapshot != 0 && part.Snapshot != answer.Snapshot {
			c.addViolation(OneSnapshot, call.subject(), "answer says snapshot %d, the content of part %v by %s is of snapshot %d",
				answer.Snapshot, part.Range, part.Server, part.Snapshot)
		}
		execution, ok := c.findExecution(part, answer.Snapshot)
		if ok && execution.Snapshot != answer.Snapshot {
			c.addViolation(OneSnapshot, call.subject(), "answer says snapshot %d, the part %v by %s at %s ran on snapshot %d",
				answer.Snapshot, part.Range, execution.AttemptID, execution.Server, execution.Snapshot)
		}
	}
}

// checkCoverage compares the reported coverage with the ranges that servers
// executed. Keys in overlapping parts are counted once.
func (c *checker) checkCoverage(call Call, answer Answer) {
	keySpace, ok := c.keySpace(call.Service)
	if !ok {
		return
	}
	c.countChecked(TrueCoverage)
	var executed []coverage.Range
	for _, part := range answer.Parts {
		if _, ok := c.findExecution(part, answer.Snapshot); !ok {
			c.addViolation(TrueCoverage, call.subject(), "no server ran %v for request %q, which the part by %q claims",
				part.Range, part.RequestID, part.Server)
			continue
		}
		if shared, ok := part.Range.Intersect(keySpace); ok {
			executed = append(executed, shared)
		}
	}
	trueCoverage := float64(unionSize(executed)) / float64(keySpace.Size())
	if math.Abs(trueCoverage-answer.Coverage) > coverageTolerance {
		c.addViolation(TrueCoverage, call.subject(), "reported coverage %v, true coverage %v", answer.Coverage, trueCoverage)
	}
	if answer.Complete != (trueCoverage == 1) {
		c.addViolation(TrueCoverage, call.subject(), "reported complete=%v at a true coverage of %v", answer.Complete, trueCoverage)
	}
	if missing := unionSize(answer.Missing); missing+unionSize(executed) != keySpace.Size() {
		c.addViolation(TrueCoverage, call.subject(), "missing ranges hold %d keys, executed ones %d, of %d",
			missing, unionSize(executed), keySpace.Size())
	}
	if trueCoverage+coverageTolerance < call.MinimumCoverage {
		c.addViolation(TrueCoverage, call.subject(), "a result of coverage %v where the caller accepts %v", trueCoverage, call.MinimumCoverage)
	}
}

func (c *checker) checkOwnership(call Call, answer Answer) {
	c.countChecked(OwnAnswer)
	if answer.RequestID != call.RequestID {
		c.addViolation(OwnAnswer, call.subject(), "the answer is to request %q", answer.RequestID)
	}
	if answer.Coverage > 0 && len(answer.Parts) == 0 {
		c.addViolation(OwnAnswer, call.subject(), "coverage %v without a part", answer.Coverage)
	}
	for _, part := range answer.Parts {
		if part.RequestID != call.RequestID {
			c.addViolation(OwnAnswer, call.subject(), "the part %v by %s answers request %q", part.Range, part.Server, part.RequestID)
		}
		if !part.ContentMatches {
			c.addViolation(OwnAnswer, call.subject(), "the part %v by %s does not hold what the range holds", part.Range, part.Server)
		}
	}
}

// checkNotRun checks that no server executed a request answered "not run", for
// this call or for an earlier one to the same node process. A call sent later, or
// to another process, may be executed.
func (c *checker) checkNotRun(call Call, answer Answer) {
	c.countChecked(NotRun)
	for _, attempt := range c.attemptsByRequest[call.RequestID] {
		if attempt.Executed && !c.mayBelongToLaterCall(call, answer, attempt) {
			c.addViolation(NotRun, call.subject(), "answered not run at %v, yet %s ran attempt %s for %v (arrived at %v)",
				answer.At, attempt.Server, attempt.AttemptID, attempt.Range, attempt.ArrivedAt)
		}
	}
}

// mayBelongToLaterCall reports whether the attempt may belong to another call of
// the same request that went to another process, or that reached the node after
// the answer was given. Answers and calls can be delayed for any time at a frozen
// node, so a call counts as later if the node was frozen between it and the answer.
func (c *checker) mayBelongToLaterCall(call Call, answer Answer, attempt Attempt) bool {
	for _, other := range c.history.Calls {
		if other.RequestID != call.RequestID || other.ID == call.ID || c.answeredNotRun(other.ID) || other.At > attempt.ArrivedAt {
			continue
		}
		if !c.sentToSameProcess(call, other) {
			return true
		}
		after := other.At+c.options.InFlightMargin >= answer.At || c.wasFrozen(call.Node, other.At, answer.At)
		if after {
			return true
		}
	}
	return false
}

// sentToSameProcess reports whether two calls were sent to the same run of the
// same node.
func (c *checker) sentToSameProcess(one, other Call) bool {
	first, okFirst := c.runAt(one.Node, one.At)
	second, okSecond := c.runAt(other.Node, other.At)
	return one.Node == other.Node && okFirst && okSecond && first.Start == second.Start
}

func (c *checker) answeredNotRun(call CallID) bool {
	for _, answer := range c.answers[call] {
		if answer.Execution == ExecutionNotRun {
			return true
		}
	}
	return false
}

// checkExecutions checks that no key of a non-repeatable request was executed twice.
func (c *checker) checkExecutions() {
	seen := make(map[string]bool)
	for _, call := range c.history.Calls {
		if call.Repeatable || seen[call.RequestID] {
			continue
		}
		seen[call.RequestID] = true
		executed := executedAttempts(c.attemptsByRequest[call.RequestID])
		if len(executed) == 0 {
			continue
		}
		c.countChecked(AtMostOnce)
		for i, one := range executed {
			for _, other := range executed[:i] {
				c.checkDoubleExecution(call, one, other)
			}
		}
	}
}

// checkDoubleExecution reports two executions of one request whose ranges overlap:
// as a known limitation if all nodes were lost in between, else as a violation.
func (c *checker) checkDoubleExecution(call Call, one, other Attempt) {
	shared, overlap := one.Range.Intersect(other.Range)
	if !overlap {
		return
	}
	found := Violation{Invariant: AtMostOnce, Subject: call.subject(), Evidence: fmt.Sprintf(
		"%v ran twice: attempt %s at %s and attempt %s at %s", shared, other.AttemptID, other.Server, one.AttemptID, one.Server)}
	if c.allNodesLost(min(one.ArrivedAt, other.ArrivedAt), max(one.ArrivedAt, other.ArrivedAt)) {
		c.report.KnownLimitations = append(c.report.KnownLimitations, found)
		return
	}
	c.report.Violations = append(c.report.Violations, found)
}

// allNodesLost reports whether no node process alive at time to can know what was
// executed at time from. Nodes do not persist executions: a process that stops as
// planned hands its record over to the processes running at that time, a killed
// process hands over nothing.
func (c *checker) allNodesLost(from, to time.Duration) bool {
	runs := slices.Clone(c.history.Runs)
	slices.SortStableFunc(runs, func(a, b NodeRun) int { return cmp.Compare(a.endOrAfter(to), b.endOrAfter(to)) })
	lastHandover := from
	for _, run := range runs {
		hadRecord := run.Start <= lastHandover && run.endOrAfter(to) >= from
		switch {
		case !hadRecord:
		case run.End == 0 || run.End > to:
			return false
		case !run.Killed && run.StopRequestedAt != 0:
			lastHandover = max(lastHandover, run.StopRequestedAt)
		}
	}
	return true
}

// endOrAfter returns the end of the run, or 1 ns after to if the run has not ended.
func (run NodeRun) endOrAfter(to time.Duration) time.Duration {
	if run.End == 0 {
		return to + 1
	}
	return run.End
}

func executedAttempts(attempts []Attempt) []Attempt {
	var executed []Attempt
	for _, attempt := range attempts {
		if attempt.Executed {
			executed = append(executed, attempt)
		}
	}
	return executed
}

func (c *checker) keySpace(service string) (coverage.Range, bool) {
	for _, keySpace := range c.history.KeySpaces {
		if keySpace.Service == service {
			return keySpace.Range, true
		}
	}
	return coverage.Range{}, false
}

// unionSize returns the number of keys in the union of ranges. It does not use
// the coverage package's union, because the checker verifies that code.
func unionSize(ranges []coverage.Range) uint64 {
	sorted := append([]coverage.Range(nil), ranges...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Start < sorted[j].Start })
	var size, reached uint64
	for _, next := range sorted {
		start := max(next.Start, reached)
		if next.End > start {
			size += next.End - start
			reached = next.End
		}
	}
	return size
}
