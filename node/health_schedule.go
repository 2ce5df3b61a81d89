package node

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/banksail/banksail/internal/priority"
)

const (
	// minFirstPollSpread is the minimum time over which the first polls of
	// newly configured servers are spread.
	minFirstPollSpread = 100 * time.Millisecond
	// firstPollSpreadPerServer is the spread per newly configured server, if the
	// total exceeds minFirstPollSpread.
	firstPollSpreadPerServer = time.Millisecond
	// maxFirstPollFailures is the number of consecutive failures after which a
	// server that was never polled successfully becomes subject to the budget.
	maxFirstPollFailures = 8
	// recheckSpreadPerNode, multiplied by the number of live nodes, is the time
	// over which the nodes spread their rechecks of a server.
	recheckSpreadPerNode = 20 * time.Millisecond
)

// pollTarget is a server to poll.
type pollTarget struct {
	server  string
	address string
	due     time.Time
	// failures is the number of consecutive failed polls.
	failures int
	lastLoad time.Time
	// isAssigned reports that this node polls the server every interval.
	isAssigned bool
	// polled reports that at least one poll succeeded.
	polled bool
	// recheckRequested reports that another node reported a change of the
	// server's state.
	recheckRequested bool
	// lastReply is the Unix time, in nanoseconds, of the last reply that
	// carried the same information as a poll, or zero.
	lastReply atomic.Int64
	// queue is the queue that holds the target and index its position there;
	// queue is nil while the target is being polled.
	queue *priority.Queue[*pollTarget]
	index int
}

// needsFirstPoll reports whether the server still needs its first successful
// poll.
func (t *pollTarget) needsFirstPoll() bool { return !t.polled && t.failures < maxFirstPollFailures }

// urgent reports whether the target is polled without waiting for the budget.
func (t *pollTarget) urgent() bool { return t.isAssigned || t.recheckRequested || t.needsFirstPoll() }

// setServers replaces the set of servers to poll.
func (p *poller) setServers(servers map[string]configuredServer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for server, target := range p.targets {
		if _, kept := servers[server]; !kept {
			delete(p.targets, server)
			p.targetIndex.Delete(server)
			p.dequeue(target)
		}
	}
	added := len(servers) - len(p.targets)
	spread := max(minFirstPollSpread, time.Duration(added)*firstPollSpreadPerServer)
	now := time.Now()
	for _, server := range slices.Sorted(maps.Keys(servers)) {
		p.setServer(server, servers[server].address, now, spread)
	}
	p.reassign()
	p.wake()
}

func (p *poller) setServer(server, address string, now time.Time, spread time.Duration) {
	if target, known := p.targets[server]; known {
		target.address = address
		return
	}
	due := now.Add(time.Duration(p.random.Int64N(int64(spread))))
	target := &pollTarget{server: server, address: address, due: due}
	p.targets[server] = target
	p.targetIndex.Store(server, target)
	p.enqueue(target)
}

// setAssigned updates the servers assigned to this node and the number of live
// nodes. ranks maps a server's ID to this node's rank among the nodes that poll
// it.
func (p *poller) setAssigned(ranks map[string]int, liveNodes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.assigned = make(map[string]bool)
	for _, server := range p.budget.Duties(ranks) {
		p.assigned[server] = true
	}
	p.liveNodes = liveNodes
	p.reassign()
	p.wake()
}

// reassign splits the targets into assigned and budgeted ones. The caller holds
// the mutex.
func (p *poller) reassign() {
	coversAll := p.budget.Covers(len(p.targets))
	now := time.Now()
	assigned := 0
	for _, server := range slices.Sorted(maps.Keys(p.targets)) {
		target := p.targets[server]
		isAssigned := coversAll || p.assigned[server]
		if isAssigned {
			assigned++
		}
		if isAssigned != target.isAssigned {
			p.setTargetAssigned(target, isAssigned, now)
		}
	}
	p.pacer.interval, p.pacer.targetInterval = p.budget.OtherIntervals(assigned, len(p.targets)-assigned)
}

// setTargetAssigned changes whether a target is assigned. A newly assigned
// target is polled within about half an interval. The caller holds the mutex.
func (p *poller) setTargetAssigned(target *pollTarget, isAssigned bool, now time.Time) {
	queued := target.queue != nil
	p.dequeue(target)
	target.isAssigned = isAssigned
	if latest := now.Add(p.jitter(p.options.interval / 2)); isAssigned && target.due.After(latest) {
		target.due = latest
	}
	if queued {
		p.enqueue(target)
	}
}

// recordReply records that a server sent a reply that carries the same
// information as a poll.
func (p *poller) recordReply(server string) {
	if target, known := p.targetIndex.Load(server); known {
		target.(*pollTarget).lastReply.Store(time.Now().UnixNano())
	}
}

// clearReply discards the recorded reply of a server, so that it is polled
// again.
func (p *poller) clearReply(server string) {
	if target, known := p.targetIndex.Load(server); known {
		target.(*pollTarget).lastReply.Store(0)
	}
}

// requestRecheck schedules an early poll of a server after another node
// reported a change of its state.
func (p *poller) requestRecheck(server string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	target, known := p.targets[server]
	if !known || target.recheckRequested {
		return
	}
	queued := target.queue != nil
	p.dequeue(target)
	target.recheckRequested = true
	if latest := time.Now().Add(p.recheckDelay()); target.due.After(latest) {
		target.due = latest
	}
	if queued {
		p.enqueue(target)
		p.wake()
	}
}

// recheckDelay returns a random delay that spreads the rechecks of a server
// over the live nodes.
func (p *poller) recheckDelay() time.Duration {
	return time.Duration(p.random.Float64() * float64(p.liveNodes) * float64(recheckSpreadPerNode))
}

// dequeueDue removes and returns the next target to poll. If there is none, it
// returns nil and the time to wait.
func (p *poller) dequeueDue() (*pollTarget, time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	if p.urgent.Len() > 0 && !p.urgent.First().due.After(now) {
		return p.startPoll(p.urgent.First(), now), 0
	}
	p.deferRecentlyReplied(now)
	if p.budgeted.Len() > 0 && !p.budgeted.First().due.After(now) && p.pacer.allows(now) {
		return p.startPoll(p.budgeted.First(), now), 0
	}
	wait := p.options.interval
	if p.urgent.Len() > 0 {
		wait = min(wait, p.urgent.First().due.Sub(now))
	}
	if p.budgeted.Len() > 0 {
		wait = min(wait, p.nextTick(p.pacer.earliest(p.budgeted.First().due)).Sub(now))
	}
	return nil, wait
}

// startPoll removes a target from its queue for a poll. It charges the poll to
// the budget unless the server is assigned or needs its first poll; a recheck is
// charged although it does not wait for the budget.
func (p *poller) startPoll(target *pollTarget, now time.Time) *pollTarget {
	p.dequeue(target)
	if !target.isAssigned && !target.needsFirstPoll() {
		p.pacer.consume(now)
	}
	target.recheckRequested = false
	return target
}

// deferRecentlyReplied reschedules, without a poll, the budgeted targets that
// are due but replied within the interval.
func (p *poller) deferRecentlyReplied(now time.Time) {
	for p.budgeted.Len() > 0 && !p.budgeted.First().due.After(now) {
		target := p.budgeted.First()
		repliedAt := time.Unix(0, target.lastReply.Load())
		if now.Sub(repliedAt) > p.options.interval {
			return
		}
		p.dequeue(target)
		target.due = now.Add(p.jitter(p.pacer.targetInterval))
		p.enqueue(target)
	}
}

// enqueue adds a target to the queue for its kind.
func (p *poller) enqueue(target *pollTarget) {
	target.queue = p.budgeted
	if target.urgent() {
		target.queue = p.urgent
	}
	target.queue.Push(target)
}

// dequeue removes a target from its queue; it is a no-op if the target is in
// none.
func (p *poller) dequeue(target *pollTarget) {
	if target.queue != nil {
		target.queue.Remove(target.index)
		target.queue = nil
	}
}

// newPollQueue returns a queue of targets ordered by due time, then by server
// ID.
func newPollQueue() *priority.Queue[*pollTarget] {
	before := func(target, other *pollTarget) bool {
		if target.due.Equal(other.due) {
			return target.server < other.server
		}
		return target.due.Before(other.due)
	}
	return priority.NewQueue(before, func(target *pollTarget, index int) { target.index = index })
}
