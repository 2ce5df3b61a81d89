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
	// initialPollBackoff is the delay after the first failed poll of a server.
	// It doubles with each further failure, up to the health interval.
	initialPollBackoff = 100 * time.Millisecond
	// maxBackoffDoublings keeps the shift that doubles the delay from
	// overflowing.
	maxBackoffDoublings = 16
	// minLoadPollInterval is the minimum time between two load polls of a
	// server; replies also report its load.
	minLoadPollInterval = 30 * time.Second
	// jitterFraction is the maximum relative deviation of a delay from its
	// mean.
	jitterFraction = 0.25
	// pollTick is the interval to which poll times are aligned, so that a node
	// with many servers wakes up once for several polls.
	pollTick = 250 * time.Millisecond
)

// pollResult is a server's health and, if it was polled as well, its load; load
// may be nil.
type pollResult struct {
	server string
	health *backend.Health
	load   *backend.Load
}

// pollerOptions configures a poller.
type pollerOptions struct {
	client      backendClient
	interval    time.Duration
	timeout     time.Duration
	concurrency int
	// budgetRate is the maximum number of polls per second. The servers
	// assigned to this node are polled even if they exceed it. Zero means
	// unlimited.
	budgetRate float64
	seed       uint64
	// onResult is called with each successful poll.
	onResult func(pollResult)
	// onUnreachable is called with the ID of each server to which no connection
	// could be opened.
	onUnreachable func(server string)
}

// poller polls the servers' health. Polling detects drains that only the health
// endpoint reports, and discovers snapshots before the first reply.
//
// The servers assigned to this node are polled every interval; if the budget
// suffices, all servers are assigned. The budget that the assigned servers
// leave is spread evenly over the remaining ones. A remaining server that
// replied to a sub-request within the interval is not polled.
type poller struct {
	options pollerOptions
	budget  membership.ReadingBudget
	wakeup  chan struct{}
	// targetIndex finds a target by server ID without taking the mutex.
	targetIndex sync.Map

	mutex sync.Mutex
	// mutex guards the fields below. Invariant: each target that is not being
	// polled is in exactly one of urgent and budgeted, both ordered by due
	// time; targets holds all configured servers.
	targets map[string]*pollTarget
	// urgent holds the assigned servers, first polls and rechecks, which do not
	// wait for the budget.
	urgent   *priority.Queue[*pollTarget]
	budgeted *priority.Queue[*pollTarget]
	// assigned holds the IDs of the servers that this node polls on behalf of
	// all nodes.
	assigned  map[string]bool
	liveNodes int
	// pacer spaces the polls of budgeted targets.
	pacer  pollPacer
	random *rand.Rand
	// phase offsets this node's ticks from those of other nodes; it never
	// changes.
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

// run polls servers as they become due, until ctx ends. It returns when all
// polls have finished.
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

// poll polls one server and schedules its next poll.
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

// pollParameters returns the target's address and whether to poll its load as
// well.
func (p *poller) pollParameters(target *pollTarget) (address string, withLoad bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	loadAllowed := target.isAssigned || target.needsFirstPoll()
	return target.address, loadAllowed && time.Since(target.lastLoad) >= minLoadPollInterval
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

// nextDueTime returns when a target that was just polled is due again.
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

// nextTick returns the first tick after a time.
func (p *poller) nextTick(after time.Time) time.Time {
	return after.Add(-p.phase).Truncate(pollTick).Add(pollTick + p.phase)
}

func (p *poller) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 + jitterFraction*(2*p.random.Float64()-1)))
}
