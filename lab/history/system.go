package history

import (
	"fmt"
	"time"
)

// checkLeaving checks that leaving servers get no new requests after
// LeavingGrace. The grace restarts for a node after each disturbance within it.
func (c *checker) checkLeaving() {
	nodes := make(map[string]string)
	for _, call := range c.history.Calls {
		nodes[call.RequestID] = call.Node
	}
	for _, leaving := range c.history.Leaving {
		limit := leaving.At + c.options.LeavingGrace
		if c.history.End < limit || (leaving.Until != 0 && leaving.Until < limit) {
			continue
		}
		c.countChecked(LeavingServer)
		for _, attempt := range c.history.Attempts {
			if attempt.Server == leaving.Server {
				c.checkAttemptAfterLeaving(leaving, attempt, nodes[attempt.RequestID])
			}
		}
	}
}

func (c *checker) checkAttemptAfterLeaving(leaving ServerLeaving, attempt Attempt, node string) {
	if leaving.Until != 0 && attempt.ArrivedAt >= leaving.Until {
		return
	}
	limit := c.undisturbedAfter(node, leaving.At, c.options.LeavingGrace) + c.options.LeavingGrace
	if attempt.SentAt <= limit {
		return
	}
	c.addViolation(LeavingServer, "server "+leaving.Server, "began to leave at %v; attempt %s of request %s was sent at %v and arrived at %v",
		leaving.At, attempt.AttemptID, attempt.RequestID, attempt.SentAt, attempt.ArrivedAt)
}

// checkPlannedStops checks that a planned stop interrupts no call in flight.
func (c *checker) checkPlannedStops() {
	for _, run := range c.history.Runs {
		if run.StopRequestedAt == 0 || run.Killed {
			continue
		}
		for _, call := range c.history.Calls {
			if c.inFlight(call, run) {
				c.checkInFlightCall(call, run)
			}
		}
	}
}

// inFlight reports whether the node was processing the call when its stop was
// requested. Calls to a node that was frozen before their deadline don't count.
func (c *checker) inFlight(call Call, run NodeRun) bool {
	if call.Abandoned || call.Node != run.Node || call.At < run.Start || call.At+c.options.InFlightMargin > run.StopRequestedAt {
		return false
	}
	for _, answer := range c.answers[call.ID] {
		if answer.At < run.StopRequestedAt {
			return false
		}
	}
	return !c.wasFrozen(call.Node, call.At, call.At+call.Deadline)
}

func (c *checker) checkInFlightCall(call Call, run NodeRun) {
	c.countChecked(PlannedStop)
	for _, answer := range c.answers[call.ID] {
		cut := answer.Kind == AnswerBroken || answer.Kind == AnswerUnreachable
		if cut {
			c.addViolation(PlannedStop, call.subject(), "in flight when the stop was asked for at %v; its connection ended at %v: %s",
				run.StopRequestedAt, answer.At, answer.Detail)
		}
		if answer.Reason == "stopping" && answer.Execution != ExecutionNotRun {
			c.addViolation(PlannedStop, call.subject(), "cut by the stop at %v: execution %s", run.StopRequestedAt, answer.Execution)
		}
	}
}

// checkConfigurations checks the configurations in force during each node run.
func (c *checker) checkConfigurations() {
	for _, run := range c.history.Runs {
		inForce := c.revisionsDuring(run)
		c.checkRevisionOrder(run, inForce)
		for _, accepted := range c.history.Accepted {
			c.checkPropagation(run, accepted, inForce)
		}
	}
}

func (c *checker) revisionsDuring(run NodeRun) []InForce {
	var inForce []InForce
	for _, entry := range c.history.InForce {
		if entry.Node == run.Node && entry.At >= run.Start && (run.End == 0 || entry.At <= run.End) {
			inForce = append(inForce, entry)
		}
	}
	return inForce
}

// checkRevisionOrder checks that a node put only accepted revisions in force and
// never went back to a lower one.
func (c *checker) checkRevisionOrder(run NodeRun, inForce []InForce) {
	var last uint64
	for _, entry := range inForce {
		c.countChecked(Configuration)
		if entry.Revision < last {
			c.addViolation(Configuration, "node "+run.Node, "reverted from revision %d to %d at %v", last, entry.Revision, entry.At)
		}
		last = max(last, entry.Revision)
		if !c.wasAccepted(entry) {
			c.addViolation(Configuration, "node "+run.Node, "put revision %d (%s) in force at %v, which was not accepted", entry.Revision, entry.Digest, entry.At)
		}
	}
}

func (c *checker) wasAccepted(entry InForce) bool {
	for _, accepted := range c.history.Accepted {
		if accepted.Revision == entry.Revision && (entry.Digest == "" || accepted.Digest == entry.Digest) {
			return true
		}
	}
	return false
}

// checkPropagation checks that the run put the accepted revision, or a later one,
// in force within ConfigurationBound. The bound restarts after each disturbance
// of the node within it; checkRevisionOrder detects later reversions.
func (c *checker) checkPropagation(run NodeRun, accepted Accepted, inForce []InForce) {
	start := max(accepted.At, run.Start)
	limit := c.undisturbedAfter(run.Node, start, c.options.ConfigurationBound) + c.options.ConfigurationBound
	if limit > c.history.End || (run.End != 0 && run.End < limit) || (run.StopRequestedAt != 0 && run.StopRequestedAt < limit) {
		return
	}
	c.countChecked(Configuration)
	var reached uint64
	for _, entry := range inForce {
		if entry.At <= limit {
			reached = max(reached, entry.Revision)
		}
	}
	if reached < accepted.Revision {
		c.addViolation(Configuration, "node "+run.Node, "revision %d was accepted at %v; at %v the node (started at %v) had revision %d in force",
			accepted.Revision, accepted.At, limit, run.Start, reached)
	}
}

// undisturbedAfter returns the earliest time, not before start, that is followed
// by a period of length bound without a disturbance of the node.
func (c *checker) undisturbedAfter(node string, start, bound time.Duration) time.Duration {
	for moved := true; moved; {
		moved = false
		for _, disturbance := range c.history.Disturbances {
			concerned := disturbance.Host == node
			overlaps := disturbance.From <= start+bound && disturbance.To > start
			if concerned && overlaps {
				start = disturbance.To
				moved = true
			}
		}
	}
	return start
}

// checkConfirmations compares the results that operators received for their plans
// with the configurations that the store accepted.
func (c *checker) checkConfirmations() {
	acceptances := make(map[string][]Accepted)
	for _, accepted := range c.history.Accepted {
		if accepted.PlanID != "" {
			acceptances[accepted.PlanID] = append(acceptances[accepted.PlanID], accepted)
		}
	}
	for _, confirmation := range c.history.Confirmations {
		c.countChecked(Configuration)
		accepted := acceptances[confirmation.PlanID]
		subject := fmt.Sprintf("plan %s of %s", confirmation.PlanID, confirmation.Operator)
		switch confirmation.Result {
		case ConfirmationApplied:
			if len(accepted) == 0 || accepted[0].Revision != confirmation.Revision {
				c.addViolation(Configuration, subject, "told applied as revision %d; the store accepted %v", confirmation.Revision, accepted)
			}
		case ConfirmationConflict, ConfirmationFailed:
			if len(accepted) != 0 {
				c.addViolation(Configuration, subject, "told %s; the store accepted %v", confirmation.Result, accepted)
			}
		}
		if len(accepted) > 1 {
			c.addViolation(Configuration, subject, "was applied %d times: %v", len(accepted), accepted)
		}
	}
}

// checkLiveness checks that each call got exactly one answer, at most
// AnswerAllowance after its deadline.
func (c *checker) checkLiveness() {
	for _, call := range c.history.Calls {
		limit := call.At + call.Deadline + c.options.AnswerAllowance
		if limit > c.history.End {
			continue
		}
		answers := c.answers[call.ID]
		if len(answers) > 1 {
			c.addViolation(OneFinalAnswer, call.subject(), "got %d answers", len(answers))
		}
		if call.Abandoned || c.excused(call, limit) {
			continue
		}
		c.countChecked(OneFinalAnswer)
		if len(answers) == 0 {
			c.addViolation(OneFinalAnswer, call.subject(), "sent at %v, no answer by %v", call.At, limit)
			continue
		}
		answer := answers[0]
		if answer.At > limit {
			c.addViolation(OneFinalAnswer, call.subject(), "deadline %v after %v; answered at %v", call.Deadline, call.At, answer.At)
		}
		if answer.Kind == AnswerBroken || answer.Kind == AnswerUnreachable {
			c.addViolation(OneFinalAnswer, call.subject(), "sent at %v to a running node, %s at %v: %s", call.At, answer.Kind, answer.At, answer.Detail)
		}
	}
}

// excused reports whether no answer can be expected from the node: it was not
// running when the call was sent, was killed or frozen before the limit, or was
// asked to stop before the call was sent or within InFlightMargin after it.
func (c *checker) excused(call Call, limit time.Duration) bool {
	run, ok := c.runAt(call.Node, call.At)
	if !ok || c.wasFrozen(call.Node, call.At, limit) {
		return true
	}
	if run.Killed && run.End <= limit {
		return true
	}
	return run.StopRequestedAt != 0 && call.At+c.options.InFlightMargin > run.StopRequestedAt
}

// checkRecovery checks that repeatable calls sent after RecoveryBound has passed
// get a complete result. Calls to a node that is not running, or that is asked to
// stop before the answer is due, don't count.
func (c *checker) checkRecovery() {
	recoveredBy := c.history.FaultsEnd + c.options.RecoveryBound
	for _, call := range c.history.Calls {
		if call.At < recoveredBy || call.Abandoned || !call.Repeatable || call.At+call.Deadline+c.options.AnswerAllowance > c.history.End {
			continue
		}
		run, ok := c.runAt(call.Node, call.At)
		if !ok || run.StopRequestedAt != 0 && run.StopRequestedAt <= call.At+call.Deadline+c.options.AnswerAllowance {
			continue
		}
		c.countChecked(Recovery)
		answers := c.answers[call.ID]
		if len(answers) == 0 {
			c.addViolation(Recovery, call.subject(), "sent %v after the last fault, no answer", call.At-c.history.FaultsEnd)
			continue
		}
		if answer := answers[0]; answer.Kind != AnswerResult || !answer.Complete {
			c.addViolation(Recovery, call.subject(), "sent %v after the last fault, got %s (%s, %s) with coverage %v",
				call.At-c.history.FaultsEnd, answer.Kind, answer.Execution, answer.Reason, answer.Coverage)
		}
	}
}
