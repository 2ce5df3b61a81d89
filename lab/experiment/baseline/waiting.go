package baseline

import (
	"container/heap"
	"sort"
	"time"

	"github.com/banksail/banksail/dispatch"
)

// enqueue queues a query behind those of the same or more urgent classes, or refuses
// it if the queue is full.
func (m *Dispatcher) enqueue(arrived *query) {
	if len(m.queue) >= m.options.QueueLimit {
		m.refuse(arrived.ID, dispatch.ReasonQueueFull)
		return
	}
	position := sort.Search(len(m.queue), func(index int) bool {
		return m.queue[index].class.Order > arrived.class.Order
	})
	m.queue = append(m.queue, nil)
	copy(m.queue[position+1:], m.queue[position:])
	m.queue[position] = arrived
	m.addTimer(timer{at: arrived.arrived + arrived.class.LongestWait.Duration(), query: arrived})
}

// startQueued starts queued queries while each group has an available server below
// its in-flight limit.
func (m *Dispatcher) startQueued() {
	for len(m.queue) > 0 && m.canStart() {
		next := m.queue[0]
		m.queue = m.queue[1:]
		m.start(next)
	}
}

func (m *Dispatcher) canStart() bool {
	for _, group := range m.service.Groups {
		available := false
		for _, server := range group.Servers {
			available = available || !m.unavailable[server.ID] && !m.atLimit(server.ID)
		}
		if !available {
			return false
		}
	}
	return true
}

func (m *Dispatcher) atLimit(server string) bool {
	return m.options.InFlightLimit > 0 && m.inFlight[server] >= m.options.InFlightLimit
}

// refuseQueued refuses a query that has waited for its class's longest wait. It
// reports whether the query was still queued.
func (m *Dispatcher) refuseQueued(late *query) bool {
	for index, waiting := range m.queue {
		if waiting == late {
			m.queue = append(m.queue[:index], m.queue[index+1:]...)
			m.refuse(late.ID, dispatch.ReasonQueueWait)
			return true
		}
	}
	return false
}

// timer is due at a query's deadline, at the end of its longest wait in the queue or,
// if part is set, when that part is to be hedged.
type timer struct {
	at       time.Duration
	sequence int
	query    *query
	part     *part
}

type timerQueue struct {
	heap     []timer
	sequence int
}

func (t timerQueue) Len() int { return len(t.heap) }

func (t timerQueue) Less(i, j int) bool {
	if t.heap[i].at != t.heap[j].at {
		return t.heap[i].at < t.heap[j].at
	}
	return t.heap[i].sequence < t.heap[j].sequence
}

func (t timerQueue) Swap(i, j int) { t.heap[i], t.heap[j] = t.heap[j], t.heap[i] }

// Push implements heap.Interface.
func (t *timerQueue) Push(value any) { t.heap = append(t.heap, value.(timer)) }

// Pop implements heap.Interface.
func (t *timerQueue) Pop() any {
	last := t.heap[len(t.heap)-1]
	t.heap = t.heap[:len(t.heap)-1]
	return last
}

func (m *Dispatcher) addTimer(added timer) {
	m.timers.sequence++
	added.sequence = m.timers.sequence
	heap.Push(&m.timers, added)
}

func (m *Dispatcher) fireTimers() {
	for m.timers.Len() > 0 && m.timers.heap[0].at <= m.now {
		due := heap.Pop(&m.timers).(timer)
		switch {
		case due.part != nil:
			m.hedge(due.query, due.part)
		case m.queries[due.query.ID] == due.query && m.now >= due.query.deadline:
			m.finish(due.query, dispatch.ReasonDeadline)
		default:
			m.refuseQueued(due.query)
		}
	}
}

func (m *Dispatcher) updateTimer() {
	for m.timers.Len() > 0 && m.isObsolete(m.timers.heap[0]) {
		heap.Pop(&m.timers)
	}
	if m.timers.Len() == 0 || m.timers.heap[0].at == m.timerAt {
		return
	}
	m.timerAt = m.timers.heap[0].at
	m.emit(dispatch.SetTimer{At: m.timerAt})
}

// isObsolete reports whether a timer would have no effect because its part is
// closed or its query has finished.
func (m *Dispatcher) isObsolete(planned timer) bool {
	if planned.part != nil {
		return planned.part.closed || m.queries[planned.query.ID] != planned.query
	}
	if m.queries[planned.query.ID] == planned.query {
		return false
	}
	for _, waiting := range m.queue {
		if waiting == planned.query {
			return false
		}
	}
	return true
}
