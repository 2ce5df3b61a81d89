package routing

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/extrabudget"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/internal/priority"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/quarantine"
	"github.com/banksail/banksail/retry"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/serverstate"
)

// Router carries the requests of one node. It is not safe for concurrent use:
// its owner serialises calls to Step.
type Router struct {
	options   Options
	random    *rand.Rand
	now       time.Duration
	startedAt time.Duration
	actions   []Action

	shares    extrabudget.Shares
	services  map[string]*service
	servers   map[string]*server
	latencies map[string]*latencies
	// evacuated are the zones to which nothing may be sent.
	evacuated map[string]struct{}
	zones     map[string]*zone
	// heardAt is when a server answered last.
	heardAt time.Duration
	// fanOuts are routes that stand for all that fan out, and unable says that one of them
	// can't be served from here.
	fanOuts []*route.Route
	unable  bool
	// connected says that this node is not behind a cut, by the servers that it reaches.
	connected bool
	// othersServe says that another node is known to reach enough servers.
	othersServe bool
	outages     outages
	// starts is what is to be expected of servers that have just started.
	starts serverstate.ColdStarts

	// ledger is what is known of requests that end servers, and ledgerAt when it is to be
	// looked at; zero is never.
	ledger   *quarantine.Tracker
	ledgerAt time.Duration

	running     map[RequestID]*request
	attempts    map[gather.AttemptID]*attempt
	doubts      map[gather.AttemptID]*attempt // that failed in doubt
	lastAttempt gather.AttemptID
	sequence    uint64
	pumping     *service
	passed      []waiter

	timers *priority.Queue[timer]
	wakeAt time.Duration
	// stopping says that the node ends.
	stopping bool
}

// never is later than any time.
const never = time.Duration(math.MaxInt64)

// New returns a Router that knows no server.
func New(now time.Duration, options Options) *Router {
	options = options.withDefaults()
	return &Router{
		options:   options,
		now:       now,
		startedAt: now,
		random:    rand.New(rand.NewPCG(options.Seed, 0)),
		services:  make(map[string]*service),
		servers:   make(map[string]*server),
		latencies: make(map[string]*latencies),
		zones:     make(map[string]*zone),
		ledger:    quarantine.NewTracker(),
		running:   make(map[RequestID]*request),
		attempts:  make(map[gather.AttemptID]*attempt),
		doubts:    make(map[gather.AttemptID]*attempt),
		timers:    priority.NewQueue(func(a, b timer) bool { return a.at < b.at }, nil),
		wakeAt:    never,
	}
}

// Step takes one event at the given time and returns the actions to carry out,
// in order. The caller owns the result.
func (r *Router) Step(now time.Duration, event Event) []Action {
	r.now = max(r.now, now)
	r.actions = nil
	switch event := event.(type) {
	case Arrived:
		r.arrive(event.Request)
	case CallerGone:
		r.callerGone(event.Request)
	case Replied:
		r.replied(event)
	case Failed:
		r.failed(event)
	case CrashCheckCompleted:
		r.settled(event)
	case TimerFired:
		r.wakeAt = never
	case ConnectFailed:
		r.unreached(r.living(event.Server), event.Refused)
	case Connected:
		r.reached(r.living(event.Server))
	case ServersChanged:
		r.serversChanged(event.Servers)
	case ZonesChanged:
		r.zonesChanged(event)
	case RolloutsChanged:
		r.rolloutsChanged(event)
	case RolloutHalted:
		r.rolloutHalted(event)
	case TableChanged:
		r.tableChanged(event.Table)
	case SettingsChanged:
		r.settingsChanged(event)
	case NodesChanged:
		r.shares.Update(r.now, extrabudget.Nodes(event))
	case PeerAvailabilityChanged:
		r.othersServe = event.Available
	case FindingReceived:
		r.findingHeard(event.Finding)
	case QuarantinesChanged:
		r.quarantinesChanged(event.Contents)
	case Stopping:
		r.stop()
	}
	r.expire()
	r.wake()
	return r.actions
}

// on reports whether a mechanism is not switched off.
func (r *Router) on(m mechanism.Mechanism) bool { return r.options.Disabled.Enabled(m) }

func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// InFlightRequests is the number of requests without a final answer.
func (r *Router) InFlightRequests() int { return len(r.running) }

// ConnectionShare is the number of connections that this node may have to a
// server of the service.
func (r *Router) ConnectionShare(name string) int { return r.share(r.serviceNamed(name)) }

// arrive decides on a request.
func (r *Router) arrive(asked Request) {
	standing, left := r.standingOf(&asked)
	if standing >= quarantine.UnderReview {
		r.refuseSuspect(asked, standing, left)
		return
	}
	q := r.newRequest(asked)
	q.suspected = standing == quarantine.Suspected
	if reason := r.refusal(q); reason != "" {
		r.refuse(q, reason)
		return
	}
	r.running[asked.ID] = q
	q.start()
}

// callerGone ends a request whose caller no longer waits. One that may not be
// repeated goes on: stopping it would not undo it.
func (r *Router) callerGone(id RequestID) {
	if q := r.running[id]; q != nil {
		q.query.Cancel(r.now)
	}
}

// stop gives every request that runs its final answer.
func (r *Router) stop() {
	r.stopping = true
	for _, id := range slices.Sorted(maps.Keys(r.running)) {
		r.running[id].query.Abort(r.now, gather.ReasonStopping)
	}
}

// settle takes an attempt whose end was reported; nil when it is not known.
func (r *Router) settle(id gather.AttemptID) *attempt {
	a := r.attempts[id]
	if a == nil {
		return nil
	}
	delete(r.attempts, id)
	a.server.EndAttempt(&a.flight)
	return a
}

// replied takes a server's reply.
func (r *Router) replied(event Replied) {
	a := r.settle(event.Attempt)
	if a == nil {
		return
	}
	q := r.requestOf(a)
	r.heard(a.server.way)
	q.ended(a, StatusName(event.Status))
	r.judgeReply(a, q, event.Status)
	r.survived(q, event.Status)
	if event.LoadKnown && r.on(mechanism.ReportedLoad) {
		a.server.ObserveLoad(r.now, event.Load.Running, event.Load.Waiting)
	}
	switch event.Status {
	case gather.ReplyDone:
		r.learnAnswer(q, a)
	case gather.ReplyShed:
		a.server.SetShedUntil(r.now + max(event.RetryAfter, leastShedPause))
	case gather.ReplyNotOwner, gather.ReplyDraining:
		a.server.State = discovery.Draining
	default:
		q.failure = event.Body
		a.server.ObserveSlowness(r.now, refusedSlowness)
	}
	q.query.HandleReply(r.now, a.Attempt, gather.Reply{
		Status:   event.Status,
		Snapshot: a.Snapshot,
		Range:    a.Range,
		Body:     event.Body,
	})
	r.schedule(q)
	r.pump(a.Segment.Group.(*service))
}

// StatusName names a reply's status in records and metrics.
func StatusName(status gather.ReplyStatus) string {
	switch status {
	case gather.ReplyDone:
		return "answered"
	case gather.ReplyShed:
		return "shed"
	case gather.ReplyNotOwner:
		return "not_expected_server"
	case gather.ReplyDraining:
		return "draining"
	default:
		return "server_error"
	}
}

// leastShedPause is how long a server that shed is left alone at least.
const leastShedPause = 10 * time.Millisecond

// learnAnswer takes the latency of an answer into the route's and the server's.
func (r *Router) learnAnswer(q *request, a *attempt) {
	latency := r.sinceSent(a)
	if !a.limited { // what is usual is not learned of an unproven version
		q.latency.add(latency)
	}
	usual := q.latency.usual()
	if usual == 0 {
		return
	}
	slowness := float64(latency) / float64(usual)
	if a.server.Cold(r.now) && !a.limited {
		r.starts.Observe(slowness)
	}
	a.server.ObserveSlowness(r.now, slowness)
}

// failed takes the end of an attempt without a reply.
func (r *Router) failed(event Failed) {
	a := r.settle(event.Attempt)
	if a == nil {
		return
	}
	q := r.requestOf(a)
	q.ended(a, event.Reason)
	r.judgeFailure(a, q, event)
	switch event.Delivery {
	case gather.ServerCrashed:
		r.serverEnded(a, q)
	case gather.CrashUnconfirmed:
		r.doubts[event.Attempt] = a
	default:
	}
	if event.Delivery == gather.NotDelivered {
		r.uncount(a, q)
		r.unreached(a.server, event.Refused)
	} else if a.IsPending() || a.server.OverdueSlowness(r.now) > 0 || a.flight.IsLate(r.now) {
		a.server.ObserveSlowness(r.now, failedSlowness)
	}
	q.query.HandleFailure(r.now, a.Attempt, event.Delivery, event.Reason)
	r.spread(q)
	r.schedule(q)
	r.pump(a.Segment.Group.(*service))
}

// unreached sets a server aside until a connection to it is open again: requests
// that try it would wait for connections that do not open.
func (r *Router) unreached(s *server, refused bool) {
	if s == nil || s.gone || !r.on(mechanism.UnreachableServers) {
		return
	}
	if s.unreachable {
		if refused && !s.refuses {
			s.refuses = true
			r.lookAtAbility()
		}
		return
	}
	s.unreachable, s.refuses = true, refused
	r.emit(Connect{Server: s.Server})
	r.lookAtOutage(r.serviceNamed(s.Service))
	r.lookAtAbility()
}

// reached takes a server back, as one that is tried with care.
func (r *Router) reached(s *server) {
	if s == nil || !s.unreachable {
		return
	}
	s.unreachable, s.refuses = false, false
	r.lookAtOutage(r.serviceNamed(s.Service))
	r.heard(s.way)
	r.pump(r.serviceNamed(s.Service))
	r.lookAtAbility()
}

func (r *Router) requestOf(a *attempt) *request {
	return a.Query().Owner().(*request)
}

// living is the server of an incarnation; nil when that is not there, or not any more.
func (r *Router) living(one discovery.Incarnation) *server {
	if s := r.servers[one.ID]; s != nil && s.Incarnation() == one {
		return s
	}
	return nil
}

// serversChanged takes the servers that are there now. What was learned of a
// server stays while it does.
func (r *Router) serversChanged(listed []discovery.Server) {
	before := r.servers
	r.servers = make(map[string]*server, len(listed))
	for _, s := range r.services {
		s.servers = s.servers[:0]
	}
	for _, l := range listed {
		known := before[l.ID]
		isNew := known == nil || known.Incarnation() != l.Incarnation() || known.Address != l.Address
		if isNew {
			known = new(server) // also where another life had its ID: nothing of that one counts
		}
		known.takeWarmup(r.now, l, !isNew)
		known.Server = l
		known.evacuated = r.isEvacuated(l.Zone)
		known.way = r.zoneNamed(l.Zone)
		r.servers[l.ID] = known
		s := r.serviceNamed(l.Service)
		s.servers = append(s.servers, known)
	}
	for id, known := range before {
		known.gone = r.servers[id] != known
	}
	for _, s := range r.services {
		r.setStandings(s)
		r.lookAtOutage(s)
	}
	r.followDarkZones()
	r.pumpAll()
	r.lookAtAbility()
}

// tableChanged takes the bounds of the services.
func (r *Router) tableChanged(table *route.Table) {
	for name, settings := range table.Services {
		s := r.serviceNamed(name)
		s.connections, s.coldRate = settings.Connections, settings.ColdRate
	}
	r.fanOuts = fanOutsOf(table)
	r.lookAtAbility()
}

// settingsChanged takes bounds that were set anew. The window of budgets stays:
// what was counted in another one would not fit.
func (r *Router) settingsChanged(event SettingsChanged) {
	event.Budget.Window = r.options.Budget.Window
	r.options.Budget = event.Budget
	r.options.Cold = event.Cold
	r.options.Regions = event.Regions
}

func (r *Router) serviceNamed(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{name: name, waiting: priority.NewQueue(waiter.before, nil)}
		r.services[name] = s
	}
	return s
}

// enoughSamples is the weight of samples below which a quantile says little.
const enoughSamples = 20

// latencies are those of one route.
type latencies struct {
	sketch retry.Sketch
	// point is where the last request fell among the route's weighted services.
	point    float64
	patience patience
}

// goldenStep spreads consecutive points evenly over an interval of one.
const goldenStep = 0.6180339887498949

// turn returns the next request's point in [0, 1). The points of any span of
// requests are spread evenly, so that weights are kept over short spans, too.
func (l *latencies) turn(random *rand.Rand) float64 {
	if l.point == 0 {
		l.point = random.Float64()
	}
	_, l.point = math.Modf(l.point + goldenStep)
	return l.point
}

func (l *latencies) add(latency time.Duration) { l.sketch.Add(latency) }

// usual is the latency that half of the answers stay below; zero when unknown.
func (l *latencies) usual() time.Duration {
	if l.sketch.Count() < enoughSamples {
		return 0
	}
	return l.sketch.Quantile(0.5)
}

func (r *Router) latenciesOf(target *route.Route) *latencies {
	known := r.latencies[target.Name]
	if known == nil {
		known = new(latencies)
		r.latencies[target.Name] = known
	}
	return known
}
