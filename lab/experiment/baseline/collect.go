package baseline

import "github.com/banksail/banksail/dispatch"

// settle forgets an attempt; nil means that its query needs it no more.
func (m *Dispatcher) settle(id dispatch.AttemptID) *attempt {
	ended := m.attempts[id]
	if ended == nil {
		return nil
	}
	delete(m.attempts, id)
	m.inFlight[ended.server]--
	for index, active := range ended.part.active {
		if active == id {
			ended.part.active = append(ended.part.active[:index], ended.part.active[index+1:]...)
			break
		}
	}
	if m.queries[ended.query.ID] != ended.query || ended.part.closed {
		return nil
	}
	return ended
}

func (m *Dispatcher) replied(event dispatch.AttemptReplied) {
	ended := m.settle(event.Attempt)
	if ended == nil {
		return
	}
	if event.Reply.Status != dispatch.ReplyDone {
		m.tryAgain(ended, ended.query.Repeatable || event.Reply.Status != dispatch.ReplyError)
		return
	}
	for _, other := range ended.part.active {
		m.emit(dispatch.Cancel{Attempt: other})
	}
	ended.part.done = true
	ended.part.server = ended.server
	m.closePart(ended.query, ended.part)
}

func (m *Dispatcher) failed(event dispatch.AttemptFailed) {
	ended := m.settle(event.Attempt)
	if ended == nil {
		return
	}
	m.tryAgain(ended, ended.query.Repeatable || event.Delivery == dispatch.NotDelivered)
}

func (m *Dispatcher) tryAgain(ended *attempt, allowed bool) {
	if allowed && m.send(ended.query, ended.part, dispatch.RetrySend) {
		return
	}
	if len(ended.part.active) == 0 {
		m.closePart(ended.query, ended.part)
	}
}

func (m *Dispatcher) closePart(asked *query, ended *part) {
	ended.closed = true
	asked.open--
	if asked.open == 0 {
		m.finish(asked, dispatch.ReasonExhausted)
	}
}

// finish gives the final answer. A baseline doesn't cancel what it has sent;
// servers drop what is past its deadline.
func (m *Dispatcher) finish(asked *query, reason dispatch.Reason) {
	delete(m.queries, asked.ID)
	outcome := dispatch.Outcome{Execution: dispatch.ExecutionDone, Reason: reason}
	covered := uint64(0)
	for _, piece := range asked.parts {
		if piece.done {
			outcome.Parts = append(outcome.Parts, dispatch.Part{Range: piece.group.Range, Server: piece.server})
			covered += piece.group.Range.Size()
		}
	}
	outcome.Coverage = float64(covered) / float64(m.service.KeySpace.Size())
	outcome.Complete = len(outcome.Parts) == len(asked.parts)
	if outcome.Complete {
		outcome.Reason = dispatch.ReasonComplete
	}
	if len(outcome.Parts) == 0 {
		outcome.Execution = dispatch.ExecutionUnknown
	}
	m.emit(dispatch.Finish{Query: asked.ID, Outcome: outcome})
}

func (m *Dispatcher) refuse(id dispatch.QueryID, reason dispatch.Reason) {
	m.emit(dispatch.Finish{Query: id, Outcome: dispatch.Outcome{
		Execution:  dispatch.ExecutionNotRun,
		Reason:     reason,
		RetryAfter: refusalWait,
	}})
}

// hedge sends a part again when it is still awaited.
func (m *Dispatcher) hedge(asked *query, late *part) {
	if m.queries[asked.ID] == asked && !late.closed {
		m.send(asked, late, dispatch.HedgeSend)
	}
}
