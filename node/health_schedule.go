package node

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/banksail/banksail/internal/priority"
)

const (
	// firstReadingSpread is the least time over which the first readings of
	// servers that are new in the configuration are spread.
	firstReadingSpread = 100 * time.Millisecond
	// firstReadingPause is the time that each new server adds to that spread.
	firstReadingPause = time.Millisecond
	// maximumFirstFailures is the number of failures after which a server that
	// was never read waits for its turn in the budget.
	maximumFirstFailures = 8
	// doubtPause times the number of live nodes is the time over which they
	// spread their readings of a server in doubt.
	doubtPause = 20 * time.Millisecond
)

// pollTarget is one server that is read.
type pollTarget struct {
	server  string
	address string
	due     time.Time
	// failures counts failed readings in a row.
	failures int
	lastLoad time.Time
	// duty says that this node reads the server every interval.
	duty bool
	// read says that a reading succeeded.
	read bool
	// doubted says that another node told news of the server.
	doubted bool
	// heard is the Unix time, in nanoseconds, of the last reply that told all
	// that a reading tells; zero when none did.
	heard atomic.Int64
	// queue is the schedule that holds the target, and index its place there; the
	// queue is nil during a reading.
	queue *priority.Queue[*pollTarget]
	index int
}

// neverRead says that the node needs a first reading of the server.
func (t *pollTarget) neverRead() bool { return !t.read && t.failures < maximumFirstFailures }

// urgent says that the target waits for no budget.
func (t *pollTarget) urgent() bool { return t.duty || t.doubted || t.neverRead() }

// setServers makes the given servers the ones to read.
func (p *poller) setServers(servers map[string]configuredServer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for server, target := range p.targets {
		if _, kept := servers[server]; !kept {
			delete(p.targets, server)
			p.heardTargets.Delete(server)
			p.dequeue(target)
		}
	}
	added := len(servers) - len(p.targets)
	spread := max(firstReadingSpread, time.Duration(added)*firstReadingPause)
	now := time.Now()
	for _, server := range slices.Sorted(maps.Keys(servers)) {
		p.setServer(server, servers[server].address, now, spread)
	}
	p.assign()
	p.wakeUp()
}

func (p *poller) setServer(server, address string, now time.Time, spread time.Duration) {
	if target, known := p.targets[server]; known {
		target.address = address
		return
	}
	due := now.Add(time.Duration(p.random.Int64N(int64(spread))))
	target := &pollTarget{server: server, address: address, due: due}
	p.targets[server] = target
	p.heardTargets.Store(server, target)
	p.enqueue(target)
}

// setDuties takes over this node's place among the readers of each server that it
// reads for all nodes, and the number of live nodes.
func (p *poller) setDuties(places map[string]int, nodes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.duties = make(map[string]bool)
	for _, server := range p.budget.Duties(places) {
		p.duties[server] = true
	}
	p.nodes = nodes
	p.assign()
	p.wakeUp()
}

// assign parts the targets into duties and others. The lock is held.
func (p *poller) assign() {
	all := p.budget.Covers(len(p.targets))
	now := time.Now()
	duties := 0
	for _, server := range slices.Sorted(maps.Keys(p.targets)) {
		target := p.targets[server]
		duty := all || p.duties[server]
		if duty {
			duties++
		}
		if duty != target.duty {
			p.setDuty(target, duty, now)
		}
	}
	p.pace.gap, p.pace.pause = p.budget.Others(duties, len(p.targets)-duties)
}

// setDuty changes whether a target is a duty. A new one is read soon. The lock
// is held.
func (p *poller) setDuty(target *pollTarget, duty bool, now time.Time) {
	queued := target.queue != nil
	p.dequeue(target)
	target.duty = duty
	if soon := now.Add(p.jitter(p.options.interval / 2)); duty && target.due.After(soon) {
		target.due = soon
	}
	if queued {
		p.enqueue(target)
	}
}

// heardReply notes that a server replied with all that a reading tells.
func (p *poller) heardReply(server string) {
	if target, known := p.heardTargets.Load(server); known {
		target.(*pollTarget).heard.Store(time.Now().UnixNano())
	}
}

// forgetReply makes earlier replies of a server count for nothing.
func (p *poller) forgetReply(server string) {
	if target, known := p.heardTargets.Load(server); known {
		target.(*pollTarget).heard.Store(0)
	}
}

// doubt makes the node read a server soon, as another one told news of it.
func (p *poller) doubt(server string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	target, known := p.targets[server]
	if !known || target.doubted {
		return
	}
	queued := target.queue != nil
	p.dequeue(target)
	target.doubted = true
	if soon := time.Now().Add(p.doubtDelay()); target.due.After(soon) {
		target.due = soon
	}
	if queued {
		p.enqueue(target)
		p.wakeUp()
	}
}

// doubtDelay spreads the nodes' readings of one server.
func (p *poller) doubtDelay() time.Duration {
	return time.Duration(p.random.Float64() * float64(p.nodes) * float64(doubtPause))
}

// takeDue removes the first target that is due, or tells how long to wait.
func (p *poller) takeDue() (*pollTarget, time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	if p.urgent.Len() > 0 && !p.urgent.First().due.After(now) {
		return p.take(p.urgent.First(), now), 0
	}
	p.putOffHeard(now)
	if p.others.Len() > 0 && !p.others.First().due.After(now) && p.pace.allows(now) {
		return p.take(p.others.First(), now), 0
	}
	wait := p.options.interval
	if p.urgent.Len() > 0 {
		wait = min(wait, p.urgent.First().due.Sub(now))
	}
	if p.others.Len() > 0 {
		wait = min(wait, p.nextTick(p.pace.next(p.others.First().due)).Sub(now))
	}
	return nil, wait
}

// take removes a target for a reading.
func (p *poller) take(target *pollTarget, now time.Time) *pollTarget {
	p.dequeue(target)
	if !target.duty && !target.neverRead() {
		p.pace.spend(now)
	}
	target.doubted = false
	return target
}

// putOffHeard gives the others that are due and replied within the interval
// their next turn without a reading.
func (p *poller) putOffHeard(now time.Time) {
	for p.others.Len() > 0 && !p.others.First().due.After(now) {
		target := p.others.First()
		heard := time.Unix(0, target.heard.Load())
		if now.Sub(heard) > p.options.interval {
			return
		}
		p.dequeue(target)
		target.due = now.Add(p.jitter(p.pace.pause))
		p.enqueue(target)
	}
}

// enqueue puts a target where it waits for its next reading.
func (p *poller) enqueue(target *pollTarget) {
	target.queue = p.others
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

// newPollSchedule returns a queue of targets by due time, and by ID at equal times.
func newPollSchedule() *priority.Queue[*pollTarget] {
	before := func(target, other *pollTarget) bool {
		if target.due.Equal(other.due) {
			return target.server < other.server
		}
		return target.due.Before(other.due)
	}
	return priority.NewQueue(before, func(target *pollTarget, place int) { target.index = place })
}
