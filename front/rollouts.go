package front

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/relay"
	"github.com/banksail/banksail/rollout"
)

// ErrConflict is returned for a write whose condition is not met: something else was written
// meanwhile.
var ErrConflict = errors.New("front: written meanwhile")

// RolloutStore keeps the nodes' records of roll-outs in the registry.
type RolloutStore interface {
	// WriteRollout writes a record and what the operator is told of it, if order and record
	// stand at the revisions named, and returns the record's revision. Its error wraps
	// ErrConflict when they don't; after any other one it may have been written.
	WriteRollout(ctx context.Context, write rollout.Write) (revision uint64, err error)
}

const (
	// rolloutTick is the time between two looks at the roll-outs that have not ended.
	rolloutTick = 100 * time.Millisecond
	// reportPause is the time between two reports of a node, and hurriedPause the same while
	// a target gets much: bad answers are known to the deciders that soon.
	reportPause  = 500 * time.Millisecond
	hurriedPause = 250 * time.Millisecond
	// reportTimeout bounds one report, and rolloutWriteTimeout a write to the registry.
	reportTimeout       = 250 * time.Millisecond
	rolloutWriteTimeout = time.Second
	// deciders is the number of nodes that hear the reports and may decide.
	deciders = 3
	// ageMemory is the span of which the greatest age of a belief is remembered.
	ageMemory = 15 * time.Second
)

// rollouts drives the roll-outs of a node: it tells the gateway what is known of them,
// reports what was seen, and decides where that is this node's duty.
type rollouts struct {
	front *Front
	store RolloutStore
	// wake tells that something may have become active; it holds one token.
	wake   chan struct{}
	bounds rollout.Bounds
	logger zerolog.Logger

	mutex sync.Mutex
	// mutex guards the fields below.
	directives map[string]discovery.Directive
	versions   map[string][]string // of each service's servers that take work
	known      map[string]struct{} // services of the table in force
	states     map[string]rollout.State
	recordAt   map[string]time.Duration // when the record of a service was heard of
	alarmAt    map[string]time.Duration // when its alarm was seen last
	deciders   map[string]*rollout.Decider
	ages       [2]agePeak // of this span and of the one before
	reportAt   time.Time
	// told is the phase of each service that was logged last.
	told map[string]rollout.Phase
}

// agePeak is the greatest age of a belief within a span.
type agePeak struct {
	since    time.Time
	greatest time.Duration
}

func newRollouts(f *Front, store RolloutStore, registry prometheus.Registerer) *rollouts {
	r := &rollouts{
		front:      f,
		store:      store,
		wake:       make(chan struct{}, 1),
		bounds:     f.options.Settings.Rollouts,
		logger:     f.options.Logger,
		directives: make(map[string]discovery.Directive),
		states:     make(map[string]rollout.State),
		recordAt:   make(map[string]time.Duration),
		alarmAt:    make(map[string]time.Duration),
		deciders:   make(map[string]*rollout.Decider),
		told:       make(map[string]rollout.Phase),
	}
	if registry != nil {
		registry.MustRegister(&rolloutCollector{r})
	}
	return r
}

// on reports whether versions are rolled out on request here.
func (r *rollouts) on() bool { return r.bounds.Enabled() && r.store != nil }

// take takes what the node believes now, as heard at the given time.
func (r *rollouts) take(news discovery.ClusterState, heardAt time.Time) {
	if !r.on() {
		return
	}
	r.mutex.Lock()
	r.takeDirectives(news.Directives)
	r.takeServices(news)
	states := maps.Clone(r.states)
	active := r.active()
	r.mutex.Unlock()
	if active {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
	if len(states) > 0 {
		r.front.gateway.SetRollouts(states, r.front.gateway.SinceStart(heardAt.Add(r.bounds.MaxViewAge())))
	}
}

// takeDirectives brings the states up to what is believed. The lock is held.
func (r *rollouts) takeDirectives(listed []discovery.Directive) {
	now := r.now()
	before := r.directives
	r.directives = make(map[string]discovery.Directive)
	services := make(map[string]struct{})
	for _, d := range listed {
		if !d.Kind.IsRollout() {
			continue
		}
		r.directives[d.Key()] = d
		services[d.Subject] = struct{}{}
		if known, was := before[d.Key()]; d.Kind == discovery.RolloutRecord && (!was || known.Number != d.Number) {
			r.recordAt[d.Subject] = now
		}
		if d.Kind == discovery.RolloutAlarm {
			r.alarmAt[d.Subject] = now
		}
	}
	r.states = make(map[string]rollout.State, len(services))
	for service := range services {
		r.states[service] = r.stateOf(service, now)
	}
}

// stateOf is what is known of a service's roll-out. The lock is held.
func (r *rollouts) stateOf(service string, now time.Duration) rollout.State {
	var state rollout.State
	if order, there := r.directives[discovery.DirectiveKey(discovery.RollOut, service)]; there {
		state.Order, state.Target, state.Duration = order.Number, order.Order.Target, order.Order.Duration
		state.OrderRevision = uint64(order.StoredAt.Revision)
		if !order.Since.IsZero() {
			state.Since, state.OrderTimeKnown = r.front.gateway.SinceStart(order.Since), true
			state.Latest = r.front.gateway.SinceStart(order.Latest)
		}
	}
	if record, there := r.directives[discovery.DirectiveKey(discovery.RolloutRecord, service)]; there {
		state.Record, state.RecordSeenAt, state.RecordLost = record.Record, r.recordAt[service], record.Lost
	}
	if state.RecordMatchesRestoredOrder() {
		state.Order = state.Record.Order
	}
	alarm, there := r.directives[discovery.DirectiveKey(discovery.RolloutAlarm, service)]
	state.AlarmHeld = there && alarm.Record.Order == state.Order
	state.AlarmSeenAt = r.alarmAt[service]
	state.Granted = state.GrantFor(now, r.front.self.ID, time.Since(r.front.began))
	return state
}

// takeServices notes the versions of the services with a roll-out, and which of them stand
// in the table. The lock is held.
func (r *rollouts) takeServices(news discovery.ClusterState) {
	r.versions = make(map[string][]string)
	for _, server := range news.Servers {
		if _, concerned := r.states[server.Service]; concerned && server.State == discovery.Ready {
			r.versions[server.Service] = append(r.versions[server.Service], server.Version)
		}
	}
	for service, versions := range r.versions {
		slices.Sort(versions)
		r.versions[service] = slices.Compact(versions)
	}
	r.known = make(map[string]struct{})
	for service := range r.states {
		if news.Table == nil {
			continue
		}
		if _, stands := news.Table.Services[service]; stands {
			r.known[service] = struct{}{}
		}
	}
}

func (r *rollouts) now() time.Duration { return r.front.gateway.SinceStart(time.Now()) }

// active reports whether a roll-out has not ended, or is to be written again. The lock is held.
func (r *rollouts) active() bool {
	for _, state := range r.states {
		if !state.Ended() || state.NeedsRewrite() {
			return true
		}
	}
	return false
}

// run looks at the roll-outs until ctx ends, as long as one has not ended.
func (r *rollouts) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-r.wake:
			r.runActive(ctx)
		}
	}
}

func (r *rollouts) runActive(ctx context.Context) {
	active := true
	for active && clock.Sleep(ctx, rolloutTick) == nil {
		r.mutex.Lock()
		active = r.active()
		r.mutex.Unlock()
		r.noteAge()
		r.report(ctx)
		for _, write := range r.decide() {
			go r.write(ctx, write)
		}
	}
}

// noteAge remembers how old the belief of the registry was of late.
func (r *rollouts) noteAge() {
	age, now := r.front.beliefAge(), time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now.Sub(r.ages[0].since) > ageMemory {
		r.ages[1] = r.ages[0]
		r.ages[0] = agePeak{since: now}
	}
	r.ages[0].greatest = max(r.ages[0].greatest, age)
}

// report tells the deciders what this node has seen, when it is time for that.
func (r *rollouts) report(ctx context.Context) {
	reports, hurried := r.front.gateway.RolloutReports()
	if len(reports) == 0 {
		return
	}
	pause := reportPause
	if hurried {
		pause = hurriedPause
	}
	r.mutex.Lock()
	due := time.Since(r.reportAt) >= pause
	if due {
		r.reportAt = time.Now()
	}
	r.mutex.Unlock()
	if !due {
		return
	}
	for i := range reports {
		reports[i].Node, reports[i].Process = r.front.self.ID, r.front.options.Incarnation
	}
	for _, leader := range discovery.HighestRanked(r.front.agent.Nodes(), deciders) {
		if leader.ID == r.front.self.ID {
			r.halt(r.ReceiveReports(reports))
			continue
		}
		go r.reportTo(ctx, leader, reports)
	}
}

func (r *rollouts) reportTo(ctx context.Context, leader discovery.Node, reports []rollout.Report) {
	if r.front.relay == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	halts, err := r.front.relay.Report(ctx, leader.Peer, reports)
	if err != nil {
		r.logger.Debug().Err(err).Str("decider", leader.ID).Msg("report on roll-outs not delivered")
		return
	}
	r.halt(halts)
}

func (r *rollouts) halt(halts []relay.Halt) {
	for _, halt := range halts {
		r.front.gateway.HaltRollout(halt.Service, halt.Order)
	}
}

// ReceiveReports implements relay.ReportReceiver.
func (r *rollouts) ReceiveReports(reports []rollout.Report) (halts []relay.Halt) {
	now := r.now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, report := range reports {
		if _, known := r.states[report.Service]; !known {
			continue
		}
		decider := r.deciderOf(report.Service)
		decider.AddReport(now, report)
		if decider.Halt() {
			halts = append(halts, relay.Halt{Service: report.Service, Order: report.Order})
		}
	}
	return halts
}

// deciderOf is a service's decider. The lock is held.
func (r *rollouts) deciderOf(service string) *rollout.Decider {
	decider := r.deciders[service]
	if decider == nil {
		decider = rollout.NewDecider(service, r.bounds)
		r.deciders[service] = decider
	}
	return decider
}

// decide lists what this node should write now.
func (r *rollouts) decide() []rollout.Write {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.states) == 0 {
		return nil
	}
	now := r.now()
	nodes := r.front.agent.Nodes()
	world := rollout.DeciderInput{
		DeciderIndex: placeOf(r.front.self.ID, discovery.HighestRanked(nodes, deciders)),
		Nodes:        idsOf(nodes),
		MaxViewAge:   max(r.ages[0].greatest, r.ages[1].greatest),
	}
	if serving := r.front.serving.Load(); serving != nil {
		world.ServingNodes = idsOf(*serving)
	}
	var writes []rollout.Write
	for _, service := range slices.Sorted(maps.Keys(r.states)) {
		decider := r.deciderOf(service)
		decider.Observe(now, r.worldOf(service, world))
		r.logPhase(service)
		if write, due := decider.Tick(now); due {
			writes = append(writes, write)
		}
	}
	return writes
}

// worldOf adds to what is known of the nodes what is known of a service. The lock is held.
func (r *rollouts) worldOf(service string, world rollout.DeciderInput) rollout.DeciderInput {
	world.State = r.states[service]
	world.Versions = r.versions[service]
	_, world.ServiceKnown = r.known[service]
	if order, there := r.directives[discovery.DirectiveKey(discovery.RollOut, service)]; there {
		world.OrderFault = order.Order.Fault
		world.Epoch = uint64(order.StoredAt.Epoch)
	}
	if record, there := r.directives[discovery.DirectiveKey(discovery.RolloutRecord, service)]; there {
		world.Epoch, world.RecordRevision = uint64(record.StoredAt.Epoch), uint64(record.StoredAt.Revision)
	}
	return world
}

// logPhase writes a line when a service's roll-out has come to another phase. The lock is held.
func (r *rollouts) logPhase(service string) {
	state := r.states[service]
	if state.Record == nil || r.told[service] == state.Record.Phase {
		return
	}
	r.told[service] = state.Record.Phase
	r.logger.Info().Str("service", service).Str("target", state.Record.Target).Str("phase", string(state.Record.Phase)).
		Str("reason", state.Record.Reason).Uint64("order", state.Record.Order).Msg("roll-out")
}

// write carries a decision out. Whatever becomes of it is heard of from the registry.
func (r *rollouts) write(ctx context.Context, write rollout.Write) {
	ctx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	revision, err := r.store.WriteRollout(ctx, write)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	answers, bad := r.deciderOf(write.Service).Judge().Answers()
	line := r.logger.Info().Str("service", write.Service).Str("target", write.Record.Target).
		Str("phase", string(write.Record.Phase)).Str("reason", write.Record.Reason).
		Dur("elapsed_ms", write.Record.Elapsed).Int("answers", answers).Int("bad", bad)
	if errors.Is(err, ErrConflict) {
		r.deciderOf(write.Service).WriteRejected()
	}
	if err != nil {
		line.Err(err).Msg("decision on a roll-out not written")
		return
	}
	line.Uint64("revision", revision).Msg("decision on a roll-out written")
	r.deciderOf(write.Service).WriteAccepted(r.now(), write, revision)
}

// placeOf is the place of a node among others; -1 is none.
func placeOf(id string, nodes []discovery.Node) int {
	return slices.IndexFunc(nodes, func(n discovery.Node) bool { return n.ID == id })
}

func idsOf(nodes []discovery.Node) []string {
	ids := make([]string, 0, len(nodes))
	for _, n := range nodes {
		ids = append(ids, n.ID)
	}
	return ids
}
