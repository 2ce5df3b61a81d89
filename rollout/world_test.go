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
	bugWholeGrantForEach
	bugNoCondition
	bugRepeatsNotCounted
	bugAgeResetByRestart
	bugNobodyAsked
	bugEvidenceTwice
	bugNodesNotToldApart
	bugNoTakeover
	bugEndsNotHeard
	bugSlowNotSeen
	bugEndIsNoEnd
	bugs
)

// badness is how a version is bad; the zero value is good.
type badness struct {
	failed, slow float64
	from         time.Duration // since the order
	route        string        // empty is all
	underLoad    bool
}

const (
	tick      = 20 * time.Millisecond
	reportGap = 500 * time.Millisecond
	// leadTime is the time before the order, in which nodes learn of each other.
	leadTime = 5 * time.Second
	// loadShare is the part of a server's even part of the traffic from which on it is under
	// load.
	loadShare     = 0.5
	targetServers = 3
	// loadMemory is the part of recent arrivals that is left after a tick: a second.
	loadMemory = 0.98
	// touchTime is the time after which a node that was apart counts again.
	touchTime = 5 * time.Second
	oldOne    = "v1"
	newOne    = "v2"
)

// kept is what the world's registry holds.
type kept struct {
	order, record uint64 // revisions
	value         Record
	alarmUntil    time.Duration
	alarm         bool
}

// simNode is a node of the world.
type simNode struct {
	name      string
	number    int
	process   int
	startedAt time.Duration
	upAt      time.Duration // later than now: it is down
	cutUntil  time.Duration // from registry and nodes
	deafUntil time.Duration // from the registry alone
	// stuckUntil is until when it hears nothing and tells nothing, though nothing is wrong
	// with its way to the registry.
	stuckUntil time.Duration
	frozen     time.Duration // until then
	belief     kept
	heardAt    time.Duration
	heard      bool
	lag        time.Duration
	state      State
	trial      *Canary
	decider    *Decider
	reportAt   time.Duration
	// inFlight are the ends of attempts at the old servers.
	inFlight []time.Duration
	lies     bool
	// apartAt is when it was last without a link.
	apartAt time.Duration
}

// write is one on its way to the registry.
type write struct {
	at   time.Duration
	what Write
	by   *Decider
}

// world is a fleet with one service and one order.
type world struct {
	random   *rand.Rand
	bug      bug
	bounds   Bounds
	duration time.Duration
	bad      badness
	rate     float64
	routes   []string
	nodes    []*simNode
	now      time.Duration
	revision uint64
	store    kept
	writes   []write
	outage   [2]time.Duration
	orderAt  time.Duration
	// unheard is the time in which the reader of the registry had not heard of it before.
	unheard time.Duration
	// heardFirst is when the first node heard of it; zero is not yet.
	heardFirst time.Duration
	// slowUntil is a disruption of the servers of both versions.
	slowFrom, slowUntil time.Duration
	badServer           bool // one of the target's servers is bad by itself
	longDeaf            bool

	// What was seen.
	arrived, given, badAnswers int
	fiftiethAt                 time.Duration
	givenLate                  int
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

func newWorld(seed uint64, seeded bug) *world {
	random := rand.New(rand.NewPCG(seed, 34))
	w := &world{
		random:   random,
		bug:      seeded,
		bounds:   Bounds{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second},
		duration: time.Duration(12+random.IntN(30)) * time.Second,
		rate:     []float64{1, 4, 10, 30, 60, 120}[random.IntN(6)],
		orderAt:  leadTime,
		unheard:  time.Duration(random.Float64() * float64(1500*time.Millisecond)),
	}
	for number := range 1 + random.IntN(5) {
		w.routes = append(w.routes, fmt.Sprintf("route-%d", number))
	}
	for number := range 3 + random.IntN(14) {
		n := &simNode{name: fmt.Sprintf("node-%02d", number), number: number}
		w.start(n)
		w.nodes = append(w.nodes, n)
	}
	w.drawBadness()
	w.drawFaults()
	return w
}

func (w *world) drawBadness() {
	if w.random.IntN(2) == 0 {
		return
	}
	if w.random.IntN(2) == 0 {
		w.bad.failed = 0.25 + 0.75*w.random.Float64()
	} else {
		w.bad.slow = 0.9
	}
	switch w.random.IntN(4) {
	case 0:
		w.bad.from = time.Duration(w.random.Float64() * 0.4 * float64(w.duration))
	case 1:
		w.bad.route = w.routes[w.random.IntN(len(w.routes))]
	case 2:
		w.bad.underLoad = true
	}
}

// drawFaults draws at most two of what may happen, besides what each node's belief lags.
func (w *world) drawFaults() {
	at := func() time.Duration { return w.orderAt + time.Duration(w.random.Float64()*float64(w.duration)) }
	for range w.random.IntN(3) {
		n := w.nodes[w.random.IntN(min(len(w.nodes), 4))] // deciders among them
		switch w.random.IntN(11) {
		case 0:
			from := at()
			w.outage = [2]time.Duration{from, from + time.Duration(1+w.random.IntN(4))*time.Second}
		case 1:
			n.cutUntil = -at() // negative: from then on, for some seconds
		case 2:
			n.deafUntil = -at()
		case 3:
			n.frozen = -at()
		case 4:
			n.upAt = -at()
		case 5:
			for _, each := range w.nodes {
				each.upAt = -(w.orderAt + w.duration/3)
			}
		case 6:
			w.slowFrom = at()
			w.slowUntil = w.slowFrom + 4*time.Second
		case 7:
			w.badServer = true
		case 8:
			n.lies = true
		case 9:
			n.stuckUntil = -at()
		case 10: // the first decider is kept from the registry until after the deadline
			w.nodes[0].deafUntil = -(w.orderAt + w.duration/2)
			w.longDeaf = true
		}
	}
}

// start begins a process of a node.
func (w *world) start(n *simNode) {
	n.process++
	n.startedAt, n.heard, n.belief, n.state = w.now, false, kept{}, State{}
	n.trial, n.decider = NewCanary(w.bounds, w.random.Float64()), NewDecider("service", w.bounds)
	n.lag = time.Duration(w.random.Float64() * float64(1400*time.Millisecond))
	n.reportAt, n.inFlight = w.now+time.Duration(w.random.Float64()*float64(reportGap)), nil
}

// begins reports whether a fault that was drawn as a negative time begins now, and lets it
// last until a drawn time.
func (w *world) begins(until *time.Duration, longest time.Duration) bool {
	if *until >= 0 || w.now < -*until {
		return false
	}
	*until = w.now + longest/2 + time.Duration(w.random.Float64()*float64(longest/2))
	return true
}

// inTouch reports whether a node has been linked for so long that the bounds hold for it.
func (n *simNode) inTouch(now time.Duration) bool { return now >= n.apartAt+touchTime }

func (n *simNode) up(now time.Duration) bool     { return n.upAt <= now }
func (n *simNode) awake(now time.Duration) bool  { return n.up(now) && n.frozen <= now }
func (n *simNode) linked(now time.Duration) bool { return n.awake(now) && n.cutUntil <= now }
func (n *simNode) served(now time.Duration) bool { return n.linked(now) && n.deafUntil <= now }

func (w *world) registryThere() bool { return w.now < w.outage[0] || w.now >= w.outage[1] }

// run plays until some seconds after the deadline.
func (w *world) run() {
	for w.now < w.orderAt+w.duration+3*time.Second {
		w.now += tick
		w.disturb()
		w.write()
		for _, n := range w.nodes {
			if n.awake(w.now) {
				w.step(n)
			}
		}
		w.traffic()
	}
}

func (w *world) disturb() {
	w.store.alarm = w.store.alarm && w.now < w.store.alarmUntil
	if w.now >= w.orderAt && w.store.order == 0 {
		w.revision++
		w.store.order = w.revision
	}
	for _, n := range w.nodes {
		if !n.served(w.now) || !w.registryThere() {
			n.apartAt = w.now
		}
		w.begins(&n.cutUntil, 6*time.Second)
		deaf := 6 * time.Second
		if w.longDeaf {
			deaf = 2 * w.duration
		}
		w.begins(&n.deafUntil, deaf)
		w.begins(&n.stuckUntil, 20*time.Second)
		w.begins(&n.frozen, 4*time.Second)
		if w.begins(&n.upAt, 3*time.Second) {
			w.start(n)
			n.startedAt = n.upAt
		}
	}
}

// write carries out what has reached the registry.
func (w *world) write() {
	if !w.registryThere() {
		return
	}
	w.writes = slices.DeleteFunc(w.writes, func(one write) bool {
		if one.at > w.now {
			return false
		}
		met := one.what.OrderRevision == w.store.order && one.what.RecordRevision == w.store.record
		if !met && w.bug != bugNoCondition {
			return true
		}
		if w.end != "" && w.store.value.Order == w.store.order && w.store.value.Phase.Ended() {
			w.changedAfterEnd++
		}
		w.revision++
		w.store.record, w.store.value = w.revision, one.what.Record
		if one.what.AlarmTTL > 0 {
			w.store.alarmUntil, w.store.alarm = w.now+one.what.AlarmTTL, true
		}
		if w.random.IntN(10) > 0 { // else its answer is lost
			one.by.WriteAccepted(w.now, one.what, w.revision)
		}
		if one.what.Record.Phase.Ended() && w.end == "" {
			w.end, w.endAt = one.what.Record.Phase, w.now
			w.countLost()
		}
		return true
	})
}

// countLost counts what still runs at the old servers, which stop at once.
func (w *world) countLost() {
	if w.end != Completed {
		return
	}
	for _, n := range w.nodes {
		if !n.inTouch(w.now) {
			continue
		}
		for _, until := range n.inFlight {
			if until > w.now {
				w.lost++
			}
		}
	}
}
