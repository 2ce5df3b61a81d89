package node

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/banksail/banksail/internal/priority"
)

const (
	// minFirstPollSpread is the least time over which the first readings of
	// servers that are new in the configuration are spread.
	minFirstPollSpread = 100 * time.Millisecond
	// firstPollSpreadPerServer is the time that each new server adds to that spread.
	firstPollSpreadPerServer = time.Millisecond
	// maxFirstPollFailures is the number of failures after which a server that
	// was never read waits for its turn in the budget.
	maxFirstPollFailures = 8
	// recheckSpreadPerNode times the number of live nodes is the time over which they
	// spread their readings of a server in doubt.
	recheckSpreadPerNode = 20 * time.Millisecond
)

// pollTarget is one server that is read.
type pollTarget struct {
	server  string
	address string
	due     time.Time
	// failures counts failed readings in a row.
	failures int
	lastLoad time.Time
	// isAssigned says that this node reads the server every interval.
	isAssigned bool
	// polled says that a reading succeeded.
	polled bool
	// recheckRequested says that another node told news of the server.
	recheckRequested bool
	// lastReply is the Unix time, in nanoseconds, of the last reply that told all
	// that a reading tells; zero when none did.
	lastReply atomic.Int64
	// queue is the schedule that holds the target, and index its place there; the
	// queue is nil during a reading.
	queue *priority.Queue[*pollTarget]
	index int
}

// needsFirstPoll says that the node needs a first reading of the server.
func (t *pollTarget) needsFirstPoll() bool { return !t.polled && t.failures < maxFirstPollFailures }

// urgent says that the target waits for no budget.
func (t *pollTarget) urgent() bool { return t.isAssigned || t.recheckRequested || t.needsFirstPoll() }

// setServers makes the given servers the ones to read.
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

// setAssigned takes over this node's place among the readers of each server that it
// reads for all nodes, and the number of live nodes.
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

// reassign parts the targets into duties and others. The lock is held.
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
	p.pacer.interval, p.pacer.targetInterval = p.budget.Others(assigned, len(p.targets)-assigned)
}

// setTargetAssigned changes whether a target is a duty. A new one is read soon. The lock
// is held.
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

// recordReply notes that a server replied with all that a reading tells.
func (p *poller) recordReply(server string) {
	if target, known := p.targetIndex.Load(server); known {
		target.(*pollTarget).lastReply.Store(time.Now().UnixNano())
	}
}

// clearReply makes earlier replies of a server count for nothing.
func (p *poller) clearReply(server string) {
	if target, known := p.targetIndex.Load(server); known {
		target.(*pollTarget).lastReply.Store(0)
	}
}

// requestRecheck makes the node read a server soon, as another one told news of it.
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

// recheckDelay spreads the nodes' readings of one server.
func (p *poller) recheckDelay() time.Duration {
	return time.Duration(p.random.Float64() * float64(p.liveNodes) * float64(recheckSpreadPerNode))
}

// dequeueDue removes the first target that is due, or tells how long to wait.
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

// startPoll removes a target for a reading.
func (p *poller) startPoll(target *pollTarget, now time.Time) *pollTarget {
	p.dequeue(target)
	if !target.isAssigned && !target.needsFirstPoll() {
		p.pacer.consume(now)
	}
	target.recheckRequested = false
	return target
}

// deferRecentlyReplied gives the others that are due and replied within the interval
// their next turn without a reading.
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

// enqueue puts a target where it waits for its next reading.
func (p *poller) enqueue(target *pollTarget) {
	target.queue = p.budgeted
	if target.urgent() {
		target.queue = p.urgent
	}
	target.queue.Push(target)
}

// dequeue takes a target from where it waits, if it does.
func (p *poller) dequeue(target *pollTarget) {
	if target.queue != nil {
		target.queue.Remove(target.index)
		target.queue = nil
	}
}

// newPollQueue returns a queue of targets by due time, and by ID at equal times.
func newPollQueue() *priority.Queue[*pollTarget] {
	before := func(target, other *pollTarget) bool {
		if target.due.Equal(other.due) {
			return target.server < other.server
		}
		return target.due.Before(other.due)
	}
	return priority.NewQueue(before, func(target *pollTarget, index int) { target.index = index })
}
