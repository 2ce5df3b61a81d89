package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/internal/priority"
	"github.com/banksail/banksail/membership"
)

const (
	// firstRetryPause is the pause after the first failed reading of a server;
	// it doubles with each further one, up to the health interval.
	firstRetryPause = 100 * time.Millisecond
	// maximumRetryShift bounds the doubling of that pause.
	maximumRetryShift = 16
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
	// budgetRate is the number of readings a second; the servers that are this
	// node's duty are read beyond it. Zero means no bound.
	budgetRate float64
	seed       uint64
	// report takes each successful reading.
	report func(reading)
	// unreachable is told of every server to which no connection could be made.
	unreachable func(server string)
}

// poller reads the servers' health: it is how a drain that shows only there is
// seen, and how a node learns the snapshots before any reply.
//
// It reads the servers that are its duty every interval; they are all servers
// when the budget suffices. What the duties leave of the budget is spread evenly
// over the others, of which those that replied within the interval need none.
type poller struct {
	options pollerOptions
	budget  membership.ReadingBudget
	changed chan struct{}
	// heardTargets finds the target of a server's ID without the lock.
	heardTargets sync.Map

	mutex sync.Mutex
	// mutex guards the fields below. Invariant: each target that has no reading
	// in progress is in exactly one of urgent and others, ordered by due time;
	// targets holds all that are configured.
	targets map[string]*pollTarget
	// urgent holds the duties, first readings and doubts, which wait for no budget.
	urgent *priority.Queue[*pollTarget]
	others *priority.Queue[*pollTarget]
	// duties are the servers that this node reads for all nodes.
	duties map[string]bool
	// nodes is the number of live nodes.
	nodes int
	// pace spreads the readings of others.
	pace   readingPace
	random *rand.Rand
	// phase keeps the ticks of different nodes apart; it never changes.
	phase time.Duration
}

func newPoller(options pollerOptions) *poller {
	random := rand.New(rand.NewPCG(options.seed, 0))
	return &poller{
		options: options,
		budget: membership.ReadingBudget{
			Rate: options.budgetRate, Interval: options.interval, LoadInterval: loadReadingPause,
		},
		changed: make(chan struct{}, 1),
		targets: make(map[string]*pollTarget),
		urgent:  newPollSchedule(),
		others:  newPollSchedule(),
		nodes:   1,
		random:  random,
		phase:   time.Duration(random.Int64N(int64(readingTick))),
	}
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

// plan tells how to read a target.
func (p *poller) plan(target *pollTarget) (address string, withLoad bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	wanted := target.duty || target.neverRead()
	return target.address, wanted && time.Since(target.lastLoad) >= loadReadingPause
}

func (p *poller) reschedule(target *pollTarget, succeeded, withLoad bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	first := target.neverRead()
	if succeeded {
		target.failures = 0
		target.read = true
		if withLoad {
			target.lastLoad = now
		}
	} else {
		target.failures++
	}
	target.due = p.nextDue(target, now, first)
	if p.targets[target.server] != target {
		return
	}
	p.enqueue(target)
	p.wakeUp()
}

// nextDue is when a target that was just read falls due again.
func (p *poller) nextDue(target *pollTarget, now time.Time, first bool) time.Time {
	usual := p.options.interval
	if !target.urgent() {
		usual = p.pace.pause
	}
	switch {
	case target.doubted:
		return now.Add(p.doubtDelay())
	case target.failures > 0:
		pause := firstRetryPause << min(target.failures-1, maximumRetryShift)
		return now.Add(p.jitter(min(usual, pause)))
	case target.duty:
		return p.nextTick(now.Add(p.jitter(usual)))
	case first:
		return now.Add(time.Duration(p.random.Float64() * float64(usual)))
	default:
		return now.Add(p.jitter(usual))
	}
}

// nextTick is the first tick after a time.
func (p *poller) nextTick(after time.Time) time.Time {
	return after.Add(-p.phase).Truncate(readingTick).Add(readingTick + p.phase)
}

func (p *poller) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 + jitterShare*(2*p.random.Float64()-1)))
}
