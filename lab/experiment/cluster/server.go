package cluster

import (
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/dispatch"
)

// firstSnapshot is the only snapshot that the servers hold.
const firstSnapshot dispatch.SnapshotID = 1

// server is one simulated replica. It runs attempts in its slots, queues further
// ones in a bounded FIFO queue and sheds the rest.
type server struct {
	index           int
	id              string
	group           int
	replica         int
	slots           int
	queueLimit      int
	connectionLimit int
	openConnections int
	ownedRange      coverage.Range
	crashed         bool
	draining        bool
	reportsNoLoad   bool
	running         []*attempt
	queue           []*attempt
	report          delayedLoad
}

// delayedLoad holds the last two samples of a server's load, so that the reported
// one is at least Reports.Lag old.
type delayedLoad struct {
	sampledAt time.Duration
	sampled   dispatch.Load
	reported  dispatch.Load
}

// load returns the load that the server reports.
func (s *server) load(now, lag time.Duration) dispatch.Load {
	if s.reportsNoLoad {
		return dispatch.Load{}
	}
	current := dispatch.Load{InFlight: len(s.running), Queued: len(s.queue)}
	if lag == 0 {
		return current
	}
	if now-s.report.sampledAt >= lag {
		s.report.reported = s.report.sampled
		s.report.sampled = current
		s.report.sampledAt = now
	}
	return s.report.reported
}

// rejectionStatus returns the status with which the server rejects an attempt, and
// false if it accepts it.
func (s *server) rejectionStatus(requested *attempt) (dispatch.ReplyStatus, bool) {
	switch {
	case s.draining:
		return dispatch.ReplyDraining, true
	case requested.send.Snapshot != firstSnapshot:
		return dispatch.ReplyUnknownSnapshot, true
	case !s.ownedRange.Contains(requested.send.Range):
		return dispatch.ReplyNotOwner, true
	case len(s.running) >= s.slots && len(s.queue) >= s.queueLimit:
		return dispatch.ReplyShed, true
	}
	return 0, false
}

// remove removes an attempt from a list and reports whether it was in the list.
func remove(list []*attempt, removed *attempt) ([]*attempt, bool) {
	for index, listed := range list {
		if listed == removed {
			return append(list[:index], list[index+1:]...), true
		}
	}
	return list, false
}

// attemptState is the state of an attempt at its server.
type attemptState uint8

const (
	attemptInTransit attemptState = iota
	attemptQueued
	attemptRunning
	attemptEnded
)

// attempt is one sub-request.
type attempt struct {
	send   dispatch.Send
	node   *node
	server *server
	query  *query
	state  attemptState
	// closed is set once the node has cancelled the attempt or got its result.
	closed bool
	// writtenAt is the time at which the first byte is written, after connecting.
	writtenAt time.Duration
	deadline  time.Duration
	startedAt time.Duration
	executed  time.Duration
}

// query is the state of a query that has no final answer yet.
type query struct {
	id        dispatch.QueryID
	class     int
	arrivedAt time.Duration
	measured  bool
	attempts  []*attempt
}

// deliver hands an attempt to its server, which rejects, starts or queues it.
func (r *run) deliver(arrived *attempt) {
	if arrived.closed {
		arrived.state = attemptEnded
		return
	}
	target := arrived.server
	if target.crashed {
		arrived.state = attemptEnded
		r.fail(arrived, dispatch.NotDelivered, "connection refused")
		return
	}
	if status, refused := target.rejectionStatus(arrived); refused {
		arrived.state = attemptEnded
		r.reply(arrived, status)
		return
	}
	if len(target.running) < target.slots {
		r.start(arrived)
		return
	}
	arrived.state = attemptQueued
	target.queue = append(target.queue, arrived)
}

func (r *run) start(next *attempt) {
	next.state = attemptRunning
	next.startedAt = r.now
	next.server.running = append(next.server.running, next)
	took := r.serviceTime(next.query, next.send.Range, next.server)
	r.events.push(entry{at: r.now + took, kind: kindComplete, attempt: next})
}

// startQueued starts queued attempts in the free slots of a server. Attempts whose
// deadline has passed are shed without being run.
func (r *run) startQueued(idle *server) {
	for len(idle.running) < idle.slots && len(idle.queue) > 0 {
		next := idle.queue[0]
		idle.queue = idle.queue[1:]
		if r.now >= next.deadline {
			next.state = attemptEnded
			r.reply(next, dispatch.ReplyShed)
			continue
		}
		r.start(next)
	}
}

func (r *run) complete(finished *attempt) {
	if finished.state != attemptRunning {
		return
	}
	r.endExecution(finished)
	r.reply(finished, dispatch.ReplyDone)
	r.startQueued(finished.server)
}

// endExecution frees the slot of a running attempt and records its execution time.
func (r *run) endExecution(ended *attempt) {
	ended.state = attemptEnded
	ended.executed = r.now - ended.startedAt
	ended.server.running, _ = remove(ended.server.running, ended)
	r.result.executed(ended)
}

// cancelAtServer ends an attempt whose connection the node has closed.
func (r *run) cancelAtServer(cancelled *attempt) {
	target := cancelled.server
	if target.openConnections > 0 {
		target.openConnections--
	}
	switch cancelled.state {
	case attemptQueued:
		target.queue, _ = remove(target.queue, cancelled)
		cancelled.state = attemptEnded
	case attemptRunning:
		r.endExecution(cancelled)
		r.startQueued(target)
	}
}

func (r *run) reply(answered *attempt, status dispatch.ReplyStatus) {
	target := answered.server
	reply := dispatch.Reply{
		Status:    status,
		Snapshot:  answered.send.Snapshot,
		Range:     answered.send.Range,
		Snapshots: []dispatch.SnapshotID{firstSnapshot},
		Load:      target.load(r.now, r.scenario.Reports.Lag),
	}
	if status == dispatch.ReplyShed {
		reply.RetryAfter = r.scenario.ServiceTime.Mean
	}
	r.sendToNode(answered, dispatch.AttemptReplied{Attempt: answered.send.Attempt, Reply: reply})
}

func (r *run) fail(failed *attempt, delivery dispatch.Delivery, reason string) {
	r.sendToNode(failed, dispatch.AttemptFailed{Attempt: failed.send.Attempt, Delivery: delivery, Reason: reason})
}

// sendToNode schedules an event for the node that sent the attempt, after the
// network delay from the server.
func (r *run) sendToNode(about *attempt, event dispatch.Event) {
	at := r.now + r.delay(about.query.id, about.server, reverse)
	r.events.push(entry{at: at, kind: kindNodeEvent, index: about.node.index, attempt: about, event: event})
}
