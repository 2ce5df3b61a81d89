package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// bug is a fault seeded into the simulation to check that the properties detect it.
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

// defectSpec describes how a version is bad; the zero value is a good version.
type defectSpec struct {
	failed, slow float64
	from         time.Duration // time since the order
	route        string        // empty for all routes
	underLoad    bool
}

const (
	tick           = 20 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	// leadTime is the time before the order in which nodes learn of each other.
	leadTime = 5 * time.Second
	// loadShare is the fraction of an equal share of the traffic from which a server is under load.
	loadShare     = 0.5
	targetServers = 3
	// loadDecay is the factor per tick for the count of recent requests: a time constant of one second.
	loadDecay = 0.98
	// reconnectTime is the time after which the bounds hold again for a node that was disconnected.
	reconnectTime   = 5 * time.Second
	previousVersion = "v1"
	targetVersion   = "v2"
)

// registryState is the content of the simulated registry.
type registryState struct {
	epoch         uint64
	order, record uint64 // revisions
	value         Record
	alarmUntil    time.Duration
	alarm         bool
}

// simNode is a simulated node.
type simNode struct {
	name             string
	number           int
	process          int
	startedAt        time.Duration
	upAt             time.Duration // the node is down until then
	cutUntil         time.Duration // disconnected from the registry and other nodes until then
	registryCutUntil time.Duration // disconnected from the registry alone until then
	// stalledUntil is until when the node receives and reports nothing although its connection to the
	// registry works.
	stalledUntil time.Duration
	frozenUntil  time.Duration
	outdatedAt   time.Duration // when a write was last rejected
	recordNumber uint64        // number of the record that the node knows
	epochSeenAt  time.Duration
	sawRestore   bool // the node followed the registry until the current epoch began
	view         registryState
	viewAt       time.Duration
	hasView      bool
	lag          time.Duration
	state        State
	canary       *Canary
	decider      *Decider
	reportAt     time.Duration
	// inFlight holds the end times of attempts at the previous servers.
	inFlight             []time.Duration
	reportsFalseFailures bool
	// disconnectedAt is when the node was last disconnected.
	disconnectedAt time.Duration
}

// write is a write on its way to the registry.
type write struct {
	at   time.Duration
	what Write
	by   *Decider
	from *simNode
}

// cluster simulates a cluster with one service and one order.
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
	// orderDetectionDelay is the time for which the reader of the registry may have missed the order.
	orderDetectionDelay time.Duration
	// firstSeenAt is when the first node saw the order; zero means not yet.
	firstSeenAt time.Duration
	// From slowFrom to slowUntil the servers of both versions are disrupted.
	slowFrom, slowUntil time.Duration
	badServer           bool // one of the target's servers is faulty
	longRegistryCut     bool
	// restore is the restore of the registry from a backup; nil if there is none.
	restore *restorePlan

	// Observed results.
	requests, targetRequests, badAnswers int
	fiftiethAt                           time.Duration
	lateTargetRequests                   int
	// overLimited counts the requests beyond the bound before the move.
	overLimited     int
	moved           bool
	endAt           time.Duration
	end             Phase
	changedAfterEnd int
	lost            int
	// recent holds the decayed counts of recent requests to the target, by server.
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

// drawFaults draws at most two faults, in addition to the lag of each node's view.
func (c *cluster) drawFaults() {
	at := func() time.Duration { return c.orderAt + time.Duration(c.random.Float64()*float64(c.duration)) }
	for range c.random.IntN(3) {
		n := c.nodes[c.random.IntN(min(len(c.nodes), 4))] // includes the deciders
		switch c.random.IntN(11) {
		case 0:
			from := at()
			c.outage = [2]time.Duration{from, from + time.Duration(1+c.random.IntN(4))*time.Second}
		case 1:
			n.cutUntil = -at() // negative: begins then and lasts some seconds
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
		case 10: // the first decider is cut from the registry until after the deadline
			c.nodes[0].registryCutUntil = -(c.orderAt + c.duration/2)
			c.longRegistryCut = true
		}
	}
}

// start starts a process of a node.
func (c *cluster) start(n *simNode) {
	n.process++
	n.startedAt, n.hasView, n.view, n.state = c.now, false, registryState{}, State{}
	n.frozenUntil, n.outdatedAt = min(n.frozenUntil, 0), 0
	n.canary, n.decider = NewCanary(c.bounds, c.random.Float64()), NewDecider("service", c.bounds)
	n.lag = time.Duration(c.random.Float64() * float64(1400*time.Millisecond))
	n.reportAt, n.inFlight = c.now+time.Duration(c.random.Float64()*float64(reportInterval)), nil
}

// startsFault reports whether a fault that was drawn as a negative time begins now, and draws until when
// it lasts.
func (c *cluster) startsFault(until *time.Duration, longest time.Duration) bool {
	if *until >= 0 || c.now < -*until {
		return false
	}
	*until = c.now + longest/2 + time.Duration(c.random.Float64()*float64(longest/2))
	return true
}

// connectionSettled reports whether a node has been connected for long enough that the bounds hold for
// it.
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

// run simulates until 3 s after the deadline, or until the recovery after a restore.
func (c *cluster) run() {
	until := c.orderAt + c.duration + 3*time.Second
	if c.restore != nil {
		until = max(until, c.restore.judgedUntil())
	}
	for c.now < until {
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
	if c.restore != nil {
		c.restore.apply(c)
	}
	c.store.alarm = c.store.alarm && c.now < c.store.alarmUntil
	if c.now >= c.orderAt && c.store.order == 0 && (c.restore == nil || c.restore.operatorWrites(c.now)) {
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

// write applies the writes that have reached the registry.
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
			one.by.WriteRejected()
			one.from.outdatedAt = c.now
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
		if c.random.IntN(10) > 0 { // otherwise the response is lost
			one.by.WriteAccepted(c.now, one.what, c.revision)
		}
		if one.what.Record.Phase.Ended() && c.end == "" {
			c.end, c.endAt = one.what.Record.Phase, c.now
			c.countLostRequests()
		}
		return true
	})
}

// countLostRequests counts the requests that still run at the previous servers, which stop at once.
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
