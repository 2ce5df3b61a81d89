package baseline

import (
	"container/heap"
	"sort"
	"time"

	"github.com/banksail/banksail/dispatch"
)

// enqueue puts a query behind those of its class and of classes before it.
func (m *Dispatcher) enqueue(arrived *query) {
	if len(m.waiting) >= m.options.QueueLimit {
		m.refuse(arrived.ID, dispatch.ReasonQueueFull)
		return
	}
	position := sort.Search(len(m.waiting), func(index int) bool {
		return m.waiting[index].class.Order > arrived.class.Order
	})
	m.waiting = append(m.waiting, nil)
	copy(m.waiting[position+1:], m.waiting[position:])
	m.waiting[position] = arrived
	m.addTimer(timer{at: arrived.arrived + arrived.class.LongestWait.Duration(), query: arrived})
}

// admitWaiting starts queued queries while each group has a server below its limit.
func (m *Dispatcher) admitWaiting() {
	for len(m.waiting) > 0 && m.roomInEachGroup() {
		next := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.start(next)
	}
}

func (m *Dispatcher) roomInEachGroup() bool {
	for _, group := range m.service.Groups {
		room := false
		for _, server := range group.Servers {
			room = room || !m.gone[server.ID] && !m.full(server.ID)
		}
		if !room {
			return false
		}
	}
	return true
}

func (m *Dispatcher) full(server string) bool {
	return m.options.InFlightLimit > 0 && m.inFlight[server] >= m.options.InFlightLimit
}

// leaveQueue refuses a query that has waited too long; it tells whether it waited.
func (m *Dispatcher) leaveQueue(late *query) bool {
	for index, waiting := range m.waiting {
		if waiting == late {
			m.waiting = append(m.waiting[:index], m.waiting[index+1:]...)
			m.refuse(late.ID, dispatch.ReasonQueueWait)
			return true
		}
	}
	return false
}

// timer is a moment at which a query, or one of its parts, must be looked at.
type timer struct {
	at       time.Duration
	sequence int
	query    *query
	part     *part
}

type timers struct {
	heap     []timer
	sequence int
}

func (t timers) Len() int { return len(t.heap) }

func (t timers) Less(i, j int) bool {
	if t.heap[i].at != t.heap[j].at {
		return t.heap[i].at < t.heap[j].at
	}
	return t.heap[i].sequence < t.heap[j].sequence
}

func (t timers) Swap(i, j int) { t.heap[i], t.heap[j] = t.heap[j], t.heap[i] }

// Push implements heap.Interface.
func (t *timers) Push(value any) { t.heap = append(t.heap, value.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := t.heap[len(t.heap)-1]
	t.heap = t.heap[:len(t.heap)-1]
	return last
}

func (m *Dispatcher) addTimer(added timer) {
	m.timers.sequence++
	added.sequence = m.timers.sequence
	heap.Push(&m.timers, added)
}

func (m *Dispatcher) expire() {
	for m.timers.Len() > 0 && m.timers.heap[0].at <= m.now {
		due := heap.Pop(&m.timers).(timer)
		switch {
		case due.part != nil:
			m.hedge(due.query, due.part)
		case m.queries[due.query.ID] == due.query && m.now >= due.query.deadline:
			m.finish(due.query, dispatch.ReasonDeadline)
		default:
			m.leaveQueue(due.query)
		}
	}
}

func (m *Dispatcher) wake() {
	for m.timers.Len() > 0 && m.settled(m.timers.heap[0]) {
		heap.Pop(&m.timers)
	}
	if m.timers.Len() == 0 || m.timers.heap[0].at == m.wakeAt {
		return
	}
	m.wakeAt = m.timers.heap[0].at
	m.emit(dispatch.SetTimer{At: m.wakeAt})
}

// settled tells whether a timer has nothing left to do.
func (m *Dispatcher) settled(planned timer) bool {
	if planned.part != nil {
		return planned.part.closed || m.queries[planned.query.ID] != planned.query
	}
	if m.queries[planned.query.ID] == planned.query {
		return false
	}
	for _, waiting := range m.waiting {
		if waiting == planned.query {
			return false
		}
	}
	return true
}
