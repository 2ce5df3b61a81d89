package baseline

import "github.com/banksail/banksail/dispatch"

// endAttempt removes an attempt and returns it, or nil if it is unknown, its query
// has finished or its part is closed.
func (m *Dispatcher) endAttempt(id dispatch.AttemptID) *attempt {
	ended := m.attempts[id]
	if ended == nil {
		return nil
	}
	delete(m.attempts, id)
	m.inFlight[ended.server]--
	for index, active := range ended.part.pendingAttempts {
		if active == id {
			ended.part.pendingAttempts = append(ended.part.pendingAttempts[:index], ended.part.pendingAttempts[index+1:]...)
			break
		}
	}
	if m.queries[ended.query.ID] != ended.query || ended.part.closed {
		return nil
	}
	return ended
}

func (m *Dispatcher) handleReply(event dispatch.AttemptReplied) {
	ended := m.endAttempt(event.Attempt)
	if ended == nil {
		return
	}
	if event.Reply.Status != dispatch.ReplyDone {
		m.retryOrClose(ended, ended.query.Repeatable || event.Reply.Status != dispatch.ReplyError)
		return
	}
	for _, other := range ended.part.pendingAttempts {
		m.emit(dispatch.Cancel{Attempt: other})
	}
	ended.part.answered = true
	ended.part.server = ended.server
	m.closePart(ended.query, ended.part)
}

func (m *Dispatcher) handleFailure(event dispatch.AttemptFailed) {
	ended := m.endAttempt(event.Attempt)
	if ended == nil {
		return
	}
	m.retryOrClose(ended, ended.query.Repeatable || event.Delivery == dispatch.NotDelivered)
}

func (m *Dispatcher) retryOrClose(ended *attempt, allowed bool) {
	if allowed && m.send(ended.query, ended.part, dispatch.RetrySend) {
		return
	}
	if len(ended.part.pendingAttempts) == 0 {
		m.closePart(ended.query, ended.part)
	}
}

func (m *Dispatcher) closePart(owner *query, ended *part) {
	ended.closed = true
	owner.openParts--
	if owner.openParts == 0 {
		m.finish(owner, dispatch.ReasonExhausted)
	}
}

// finish emits the final answer of a query. It does not cancel attempts that are
// still pending; servers drop those whose deadline has passed.
func (m *Dispatcher) finish(owner *query, reason dispatch.Reason) {
	delete(m.queries, owner.ID)
	outcome := dispatch.Outcome{Execution: dispatch.ExecutionDone, Reason: reason}
	covered := uint64(0)
	for _, current := range owner.parts {
		if current.answered {
			outcome.Parts = append(outcome.Parts, dispatch.Part{Range: current.group.Range, Server: current.server})
			covered += current.group.Range.Size()
		}
	}
	outcome.Coverage = float64(covered) / float64(m.service.KeySpace.Size())
	outcome.Complete = len(outcome.Parts) == len(owner.parts)
	if outcome.Complete {
		outcome.Reason = dispatch.ReasonComplete
	}
	if len(outcome.Parts) == 0 {
		outcome.Execution = dispatch.ExecutionUnknown
	}
	m.emit(dispatch.Finish{Query: owner.ID, Outcome: outcome})
}

func (m *Dispatcher) refuse(id dispatch.QueryID, reason dispatch.Reason) {
	m.emit(dispatch.Finish{Query: id, Outcome: dispatch.Outcome{
		Execution:  dispatch.ExecutionNotRun,
		Reason:     reason,
		RetryAfter: refusalRetryAfter,
	}})
}

// hedge sends a part to another server if the part is still open.
func (m *Dispatcher) hedge(owner *query, late *part) {
	if m.queries[owner.ID] == owner && !late.closed {
		m.send(owner, late, dispatch.HedgeSend)
	}
}
