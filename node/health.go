package node

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/internal/priority"
)

const (
	// firstReadingSpread spreads the first readings of servers that are new in
	// the configuration.
	firstReadingSpread = 100 * time.Millisecond
	// firstRetryPause is the pause after the first failed reading of a server;
	// it doubles with each further one, up to the health interval.
	firstRetryPause = 100 * time.Millisecond
	// loadReadingPause is the least time between two load readings of a server;
	// load rides on replies besides.
	loadReadingPause = 30 * time.Second
	// jitterShare is the share by which pauses vary around their mean.
	jitterShare = 0.25
	// readingTick is the time between two moments at which readings fall due, so
	// that a node with many servers wakes up for several readings at once.
	readingTick = 250 * time.Millisecond
)

// reading is what a server said of itself; load may be nil.
type reading struct {
	server string
	health *backend.Health
	load   *backend.Load
}

// pollerOptions are what the poller needs of its node.
type pollerOptions struct {
	client      backends
	interval    time.Duration
	timeout     time.Duration
	concurrency int
	seed        uint64
	// report takes each successful reading.
	report func(reading)
	// unreachable is told of every server to which no connection could be made.
	unreachable func(server string)
}

// poller reads the servers' health: it is how a drain that shows only there is
// seen, and how a node learns the snapshots before any reply.
type poller struct {
	options pollerOptions
	changed chan struct{}

	mutex sync.Mutex
	// mutex guards the fields below. Invariant: schedule holds exactly the
	// targets that have no reading in progress, ordered by due time; targets
	// holds all that are configured.
	targets  map[string]*pollTarget
	schedule *priority.Queue[*pollTarget]
	random   *rand.Rand
	// phase keeps the ticks of different nodes apart; it never changes.
	phase time.Duration
}

// inReading is the index of a target that is being read.
const inReading = -1

// pollTarget is one server that is read.
type pollTarget struct {
	server   string
	address  string
	due      time.Time
	failures int
	lastLoad time.Time
	// index is the place in the schedule, or inReading.
	index int
}

func newPoller(options pollerOptions) *poller {
	random := rand.New(rand.NewPCG(options.seed, 0))
	return &poller{
		options:  options,
		changed:  make(chan struct{}, 1),
		targets:  make(map[string]*pollTarget),
		schedule: newPollSchedule(),
		random:   random,
		phase:    time.Duration(random.Int64N(int64(readingTick))),
	}
}

// setServers makes the given servers the ones to read.
func (p *poller) setServers(servers map[string]configuredServer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for server, target := range p.targets {
		if _, kept := servers[server]; !kept {
			delete(p.targets, server)
			if target.index != inReading {
				p.schedule.Remove(target.index)
			}
		}
	}
	now := time.Now()
	for _, server := range slices.Sorted(maps.Keys(servers)) {
		p.setServer(server, servers[server].address, now)
	}
	p.wakeUp()
}

func (p *poller) setServer(server, address string, now time.Time) {
	if target, known := p.targets[server]; known {
		target.address = address
		return
	}
	spread := time.Duration(p.random.Int64N(int64(firstReadingSpread)))
	target := &pollTarget{server: server, address: address, due: now.Add(spread)}
	p.targets[server] = target
	p.schedule.Push(target)
}

func (p *poller) wakeUp() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// run reads servers as they fall due, until ctx ends and all readings are over.
func (p *poller) run(ctx context.Context) {
	var readings sync.WaitGroup
	defer readings.Wait()
	places := make(chan struct{}, p.options.concurrency)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		target, wait := p.takeDue()
		if target == nil {
			timer.Reset(wait)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			case <-p.changed:
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case places <- struct{}{}:
		}
		readings.Go(func() {
			defer func() { <-places }()
			p.read(ctx, target)
		})
	}
}

// takeDue removes the first target that is due, or tells how long to wait.
func (p *poller) takeDue() (*pollTarget, time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.schedule.Len() == 0 {
		return nil, p.options.interval
	}
	wait := time.Until(p.schedule.First().due)
	if wait > 0 {
		return nil, wait
	}
	due := p.schedule.Pop()
	due.index = inReading
	return due, 0
}

// read asks one server and schedules its next reading.
func (p *poller) read(ctx context.Context, target *pollTarget) {
	ctx, cancel := context.WithTimeout(ctx, p.options.timeout)
	defer cancel()
	address, withLoad := p.plan(target)
	health, err := p.options.client.Health(ctx, address)
	switch {
	case errors.Is(err, backend.ErrNotDelivered):
		p.options.unreachable(target.server)
	case err == nil:
		result := reading{server: target.server, health: health}
		if withLoad {
			result.load, _ = p.options.client.Load(ctx, address)
		}
		p.options.report(result)
	}
	p.reschedule(target, err == nil, withLoad)
}

func (p *poller) plan(target *pollTarget) (address string, withLoad bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return target.address, time.Since(target.lastLoad) >= loadReadingPause
}

func (p *poller) reschedule(target *pollTarget, succeeded, withLoad bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	if succeeded {
		target.failures = 0
		target.due = p.nextTick(now.Add(p.jitter(p.options.interval)))
		if withLoad {
			target.lastLoad = now
		}
	} else {
		pause := min(p.options.interval, firstRetryPause<<min(target.failures, 16))
		target.due = now.Add(p.jitter(pause))
		target.failures++
	}
	if p.targets[target.server] != target {
		return
	}
	p.schedule.Push(target)
	p.wakeUp()
}

// nextTick is the first tick after a time.
func (p *poller) nextTick(after time.Time) time.Time {
	return after.Add(-p.phase).Truncate(readingTick).Add(readingTick + p.phase)
}

func (p *poller) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 + jitterShare*(2*p.random.Float64()-1)))
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
