package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// bug is a fault that is seeded into the world, to see that the properties catch it.
type bug int

const (
	noBug bug = iota
	bugFullGrantForEach
	bugNoCondition
	bugRepeatsNotCounted
	bugAgeResetByRestart
	bugNoConfirmations
	bugEvidenceCountedTwice
	bugNodesNotDistinguished
	bugNoTakeover
	bugEndsMissed
	bugSlowIgnored
	bugEndedReopened
	bugs
)

// defectSpec is how a version is bad; the zero value is good.
type defectSpec struct {
	failed, slow float64
	from         time.Duration // since the order
	route        string        // empty is all
	underLoad    bool
}

const (
	tick           = 20 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	// leadTime is the time before the order, in which nodes learn of each other.
	leadTime = 5 * time.Second
	// loadShare is the part of a server's even part of the traffic from which on it is under
	// load.
	loadShare     = 0.5
	targetServers = 3
	// loadDecay is the part of recent arrivals that is left after a tick: a second.
	loadDecay = 0.98
	// reconnectTime is the time after which a node that was apart counts again.
	reconnectTime   = 5 * time.Second
	previousVersion = "v1"
	targetVersion   = "v2"
)

// registryState is what the world's registry holds.
type registryState struct {
	order, record uint64 // revisions
	value         Record
	alarmUntil    time.Duration
	alarm         bool
}

// simNode is a node of the world.
type simNode struct {
	name             string
	number           int
	process          int
	startedAt        time.Duration
	upAt             time.Duration // later than now: it is down
	cutUntil         time.Duration // from registry and nodes
	registryCutUntil time.Duration // from the registry alone
	// stalledUntil is until when it hears nothing and tells nothing, though nothing is wrong
	// with its way to the registry.
	stalledUntil time.Duration
	frozenUntil  time.Duration // until then
	view         registryState
	viewAt       time.Duration
	hasView      bool
	lag          time.Duration
	state        State
	canary       *Canary
	decider      *Decider
	reportAt     time.Duration
	// inFlight are the ends of attempts at the old servers.
	inFlight             []time.Duration
	reportsFalseFailures bool
	// disconnectedAt is when it was last without a link.
	disconnectedAt time.Duration
}

// write is one on its way to the registry.
type write struct {
	at   time.Duration
	what Write
	by   *Decider
}

// cluster is a fleet with one service and one order.
type cluster struct {
	random   *rand.Rand
	bug      bug
	bounds   Bounds
	duration time.Duration
	bad      defectSpec
	rate     float64
	routes   []string
	nodes    []*simNode
	now      time.Duration
	revision uint64
	store    registryState
	writes   []write
	outage   [2]time.Duration
	orderAt  time.Duration
	// orderDetectionDelay is the time in which the reader of the registry had not heard of it before.
	orderDetectionDelay time.Duration
	// firstSeenAt is when the first node heard of it; zero is not yet.
	firstSeenAt time.Duration
	// slowUntil is a disruption of the servers of both versions.
	slowFrom, slowUntil time.Duration
	badServer           bool // one of the target's servers is bad by itself
	longRegistryCut     bool

	// What was seen.
	requests, targetRequests, badAnswers int
	fiftiethAt                           time.Duration
	lateTargetRequests                   int
	// overLimited counts the requests beyond the bound before a decision.
	overLimited     int
	moved           bool
	endAt           time.Duration
	end             Phase
	changedAfterEnd int
	lost            int
	// recent are the target's arrivals of late, by server.
	recent [targetServers]float64
}

func newCluster(seed uint64, seeded bug) *cluster {
	random := rand.New(rand.NewPCG(seed, 34))
	c := &cluster{
		random:              random,
		bug:                 seeded,
		bounds:              Bounds{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second},
		duration:            time.Duration(12+random.IntN(30)) * time.Second,
		rate:                []float64{1, 4, 10, 30, 60, 120}[random.IntN(6)],
		orderAt:             leadTime,
		orderDetectionDelay: time.Duration(random.Float64() * float64(1500*time.Millisecond)),
	}
	for number := range 1 + random.IntN(5) {
		c.routes = append(c.routes, fmt.Sprintf("route-%d", number))
	}
	for number := range 3 + random.IntN(14) {
		n := &simNode{name: fmt.Sprintf("node-%02d", number), number: number}
		c.start(n)
		c.nodes = append(c.nodes, n)
	}
	c.drawDefect()
	c.drawFaults()
	return c
}

func (c *cluster) drawDefect() {
	if c.random.IntN(2) == 0 {
		return
	}
	if c.random.IntN(2) == 0 {
		c.bad.failed = 0.25 + 0.75*c.random.Float64()
	} else {
		c.bad.slow = 0.9
	}
	switch c.random.IntN(4) {
	case 0:
		c.bad.from = time.Duration(c.random.Float64() * 0.4 * float64(c.duration))
	case 1:
		c.bad.route = c.routes[c.random.IntN(len(c.routes))]
	case 2:
		c.bad.underLoad = true
	}
}

// drawFaults draws at most two of what may happen, besides what each node's belief lags.
func (c *cluster) drawFaults() {
	at := func() time.Duration { return c.orderAt + time.Duration(c.random.Float64()*float64(c.duration)) }
	for range c.random.IntN(3) {
		n := c.nodes[c.random.IntN(min(len(c.nodes), 4))] // deciders among them
		switch c.random.IntN(11) {
		case 0:
			from := at()
			c.outage = [2]time.Duration{from, from + time.Duration(1+c.random.IntN(4))*time.Second}
		case 1:
			n.cutUntil = -at() // negative: from then on, for some seconds
		case 2:
			n.registryCutUntil = -at()
		case 3:
			n.frozenUntil = -at()
		case 4:
			n.upAt = -at()
		case 5:
			for _, each := range c.nodes {
				each.upAt = -(c.orderAt + c.duration/3)
			}
		case 6:
			c.slowFrom = at()
			c.slowUntil = c.slowFrom + 4*time.Second
		case 7:
			c.badServer = true
		case 8:
			n.reportsFalseFailures = true
		case 9:
			n.stalledUntil = -at()
		case 10: // the first decider is kept from the registry until after the deadline
			c.nodes[0].registryCutUntil = -(c.orderAt + c.duration/2)
			c.longRegistryCut = true
		}
	}
}

// start begins a process of a node.
func (c *cluster) start(n *simNode) {
	n.process++
	n.startedAt, n.hasView, n.view, n.state = c.now, false, registryState{}, State{}
	n.canary, n.decider = NewCanary(c.bounds, c.random.Float64()), NewDecider("service", c.bounds)
	n.lag = time.Duration(c.random.Float64() * float64(1400*time.Millisecond))
	n.reportAt, n.inFlight = c.now+time.Duration(c.random.Float64()*float64(reportInterval)), nil
}

// startsFault reports whether a fault that was drawn as a negative time begins now, and lets it
// last until a drawn time.
func (c *cluster) startsFault(until *time.Duration, longest time.Duration) bool {
	if *until >= 0 || c.now < -*until {
		return false
	}
	*until = c.now + longest/2 + time.Duration(c.random.Float64()*float64(longest/2))
	return true
}

// connectionSettled reports whether a node has been linked for so long that the bounds hold for it.
func (n *simNode) connectionSettled(now time.Duration) bool {
	return now >= n.disconnectedAt+reconnectTime
}

func (n *simNode) up(now time.Duration) bool           { return n.upAt <= now }
func (n *simNode) awake(now time.Duration) bool        { return n.up(now) && n.frozenUntil <= now }
func (n *simNode) reachesNodes(now time.Duration) bool { return n.awake(now) && n.cutUntil <= now }
func (n *simNode) reachesRegistry(now time.Duration) bool {
	return n.reachesNodes(now) && n.registryCutUntil <= now
}

func (c *cluster) registryUp() bool { return c.now < c.outage[0] || c.now >= c.outage[1] }

// run plays until some seconds after the deadline.
func (c *cluster) run() {
	for c.now < c.orderAt+c.duration+3*time.Second {
		c.now += tick
		c.injectFaults()
		c.write()
		for _, n := range c.nodes {
			if n.awake(c.now) {
				c.step(n)
			}
		}
		c.sendTraffic()
	}
}

func (c *cluster) injectFaults() {
	c.store.alarm = c.store.alarm && c.now < c.store.alarmUntil
	if c.now >= c.orderAt && c.store.order == 0 {
		c.revision++
		c.store.order = c.revision
	}
	for _, n := range c.nodes {
		if !n.reachesRegistry(c.now) || !c.registryUp() {
			n.disconnectedAt = c.now
		}
		c.startsFault(&n.cutUntil, 6*time.Second)
		cutTime := 6 * time.Second
		if c.longRegistryCut {
			cutTime = 2 * c.duration
		}
		c.startsFault(&n.registryCutUntil, cutTime)
		c.startsFault(&n.stalledUntil, 20*time.Second)
		c.startsFault(&n.frozenUntil, 4*time.Second)
		if c.startsFault(&n.upAt, 3*time.Second) {
			c.start(n)
			n.startedAt = n.upAt
		}
	}
}

// write carries out what has reached the registry.
func (c *cluster) write() {
	if !c.registryUp() {
		return
	}
	c.writes = slices.DeleteFunc(c.writes, func(one write) bool {
		if one.at > c.now {
			return false
		}
		met := one.what.OrderRevision == c.store.order && one.what.RecordRevision == c.store.record
		if !met && c.bug != bugNoCondition {
			return true
		}
		if c.end != "" && c.store.value.Order == c.store.order && c.store.value.Phase.Ended() {
			c.changedAfterEnd++
		}
		c.revision++
		c.store.record, c.store.value = c.revision, one.what.Record
		if one.what.AlarmTTL > 0 {
			c.store.alarmUntil, c.store.alarm = c.now+one.what.AlarmTTL, true
		}
		if c.random.IntN(10) > 0 { // else its answer is lost
			one.by.WriteAccepted(c.now, one.what, c.revision)
		}
		if one.what.Record.Phase.Ended() && c.end == "" {
			c.end, c.endAt = one.what.Record.Phase, c.now
			c.countLostRequests()
		}
		return true
	})
}

// countLostRequests counts what still runs at the old servers, which stop at once.
func (c *cluster) countLostRequests() {
	if c.end != Completed {
		return
	}
	for _, n := range c.nodes {
		if !n.connectionSettled(c.now) {
			continue
		}
		for _, until := range n.inFlight {
			if until > c.now {
				c.lost++
			}
		}
	}
}
