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
	// initialPollBackoff is the pause after the first failed reading of a server;
	// it doubles with each further one, up to the health interval.
	initialPollBackoff = 100 * time.Millisecond
	// maxBackoffDoublings bounds the doubling of that pause.
	maxBackoffDoublings = 16
	// minLoadPollInterval is the least time between two load readings of a server;
	// load rides on replies besides.
	minLoadPollInterval = 30 * time.Second
	// jitterFraction is the share by which pauses vary around their mean.
	jitterFraction = 0.25
	// pollTick is the time between two moments at which readings fall due, so
	// that a node with many servers wakes up for several readings at once.
	pollTick = 250 * time.Millisecond
)

// pollResult is what a server said of itself; load may be nil.
type pollResult struct {
	server string
	health *backend.Health
	load   *backend.Load
}

// pollerOptions are what the poller needs of its node.
type pollerOptions struct {
	client      backendClient
	interval    time.Duration
	timeout     time.Duration
	concurrency int
	// budgetRate is the number of readings a second; the servers that are this
	// node's duty are read beyond it. Zero means no bound.
	budgetRate float64
	seed       uint64
	// onResult takes each successful reading.
	onResult func(pollResult)
	// onUnreachable is told of every server to which no connection could be made.
	onUnreachable func(server string)
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
	wakeup  chan struct{}
	// targetIndex finds the target of a server's ID without the lock.
	targetIndex sync.Map

	mutex sync.Mutex
	// mutex guards the fields below. Invariant: each target that has no reading
	// in progress is in exactly one of urgent and others, ordered by due time;
	// targets holds all that are configured.
	targets map[string]*pollTarget
	// urgent holds the duties, first readings and doubts, which wait for no budget.
	urgent   *priority.Queue[*pollTarget]
	budgeted *priority.Queue[*pollTarget]
	// assigned are the servers that this node reads for all nodes.
	assigned map[string]bool
	// liveNodes is the number of live nodes.
	liveNodes int
	// pacer spreads the readings of others.
	pacer  pollPacer
	random *rand.Rand
	// phase keeps the ticks of different nodes apart; it never changes.
	phase time.Duration
}

func newPoller(options pollerOptions) *poller {
	random := rand.New(rand.NewPCG(options.seed, 0))
	return &poller{
		options: options,
		budget: membership.ReadingBudget{
			Rate: options.budgetRate, Interval: options.interval, LoadInterval: minLoadPollInterval,
		},
		wakeup:    make(chan struct{}, 1),
		targets:   make(map[string]*pollTarget),
		urgent:    newPollQueue(),
		budgeted:  newPollQueue(),
		liveNodes: 1,
		random:    random,
		phase:     time.Duration(random.Int64N(int64(pollTick))),
	}
}

func (p *poller) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// run reads servers as they fall due, until ctx ends and all readings are over.
func (p *poller) run(ctx context.Context) {
	var polls sync.WaitGroup
	defer polls.Wait()
	slots := make(chan struct{}, p.options.concurrency)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		target, wait := p.dequeueDue()
		if target == nil {
			timer.Reset(wait)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			case <-p.wakeup:
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		polls.Go(func() {
			defer func() { <-slots }()
			p.poll(ctx, target)
		})
	}
}

// poll asks one server and schedules its next reading.
func (p *poller) poll(ctx context.Context, target *pollTarget) {
	ctx, cancel := context.WithTimeout(ctx, p.options.timeout)
	defer cancel()
	address, withLoad := p.pollParameters(target)
	health, err := p.options.client.Health(ctx, address)
	switch {
	case errors.Is(err, backend.ErrNotDelivered):
		p.options.onUnreachable(target.server)
	case err == nil:
		result := pollResult{server: target.server, health: health}
		if withLoad {
			result.load, _ = p.options.client.Load(ctx, address)
		}
		p.options.onResult(result)
	}
	p.reschedule(target, err == nil, withLoad)
}

// pollParameters tells how to read a target.
func (p *poller) pollParameters(target *pollTarget) (address string, withLoad bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	wanted := target.isAssigned || target.needsFirstPoll()
	return target.address, wanted && time.Since(target.lastLoad) >= minLoadPollInterval
}

func (p *poller) reschedule(target *pollTarget, succeeded, withLoad bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	firstPoll := target.needsFirstPoll()
	if succeeded {
		target.failures = 0
		target.polled = true
		if withLoad {
			target.lastLoad = now
		}
	} else {
		target.failures++
	}
	target.due = p.nextDueTime(target, now, firstPoll)
	if p.targets[target.server] != target {
		return
	}
	p.enqueue(target)
	p.wake()
}

// nextDueTime is when a target that was just read falls due again.
func (p *poller) nextDueTime(target *pollTarget, now time.Time, firstPoll bool) time.Time {
	interval := p.options.interval
	if !target.urgent() {
		interval = p.pacer.targetInterval
	}
	switch {
	case target.recheckRequested:
		return now.Add(p.recheckDelay())
	case target.failures > 0:
		pause := initialPollBackoff << min(target.failures-1, maxBackoffDoublings)
		return now.Add(p.jitter(min(interval, pause)))
	case target.isAssigned:
		return p.nextTick(now.Add(p.jitter(interval)))
	case firstPoll:
		return now.Add(time.Duration(p.random.Float64() * float64(interval)))
	default:
		return now.Add(p.jitter(interval))
	}
}

// nextTick is the first tick after a time.
func (p *poller) nextTick(after time.Time) time.Time {
	return after.Add(-p.phase).Truncate(pollTick).Add(pollTick + p.phase)
}

func (p *poller) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 + jitterFraction*(2*p.random.Float64()-1)))
}
