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
	// rolloutInterval is the time between two looks at the roll-outs that have not ended.
	rolloutInterval = 100 * time.Millisecond
	// reportInterval is the time between two reports of a node, and frequentReportInterval the same while
	// a target gets much: bad answers are known to the deciders that soon.
	reportInterval         = 500 * time.Millisecond
	frequentReportInterval = 250 * time.Millisecond
	// reportTimeout bounds one report, and rolloutWriteTimeout a write to the registry.
	reportTimeout       = 250 * time.Millisecond
	rolloutWriteTimeout = time.Second
	// deciderCount is the number of nodes that hear the reports and may decide.
	deciderCount = 3
	// viewAgeWindow is the span of which the greatest age of a belief is remembered.
	viewAgeWindow = 15 * time.Second
)

// rolloutManager drives the roll-outs of a node: it tells the gateway what is known of them,
// reports what was seen, and decides where that is this node's duty.
type rolloutManager struct {
	front *Front
	store RolloutStore
	// wake tells that something may have become active; it holds one token.
	wake   chan struct{}
	bounds rollout.Bounds
	logger zerolog.Logger

	mutex sync.Mutex
	// mutex guards the fields below.
	directives    map[string]discovery.Directive
	versions      map[string][]string // of each service's servers that take work
	knownServices map[string]struct{} // services of the table in force
	states        map[string]rollout.State
	recordSeenAt  map[string]time.Duration // when the record of a service was heard of
	alarmSeenAt   map[string]time.Duration // when its alarm was seen last
	deciders      map[string]*rollout.Decider
	viewAgePeaks  [2]viewAgePeak // of this span and of the one before
	reportedAt    time.Time
	// loggedPhases is the phase of each service that was logged last.
	loggedPhases map[string]rollout.Phase
}

// viewAgePeak is the greatest age of a belief within a span.
type viewAgePeak struct {
	since  time.Time
	maxAge time.Duration
}

func newRolloutManager(f *Front, store RolloutStore, registry prometheus.Registerer) *rolloutManager {
	r := &rolloutManager{
		front:        f,
		store:        store,
		wake:         make(chan struct{}, 1),
		bounds:       f.options.Settings.Rollouts,
		logger:       f.options.Logger,
		directives:   make(map[string]discovery.Directive),
		states:       make(map[string]rollout.State),
		recordSeenAt: make(map[string]time.Duration),
		alarmSeenAt:  make(map[string]time.Duration),
		deciders:     make(map[string]*rollout.Decider),
		loggedPhases: make(map[string]rollout.Phase),
	}
	if registry != nil {
		registry.MustRegister(&rolloutCollector{r})
	}
	return r
}

// enabled reports whether versions are rolled out on request here.
func (r *rolloutManager) enabled() bool { return r.bounds.Enabled() && r.store != nil }

// update takes what the node believes now, as heard at the given time.
func (r *rolloutManager) update(state discovery.ClusterState, syncedAt time.Time) {
	if !r.enabled() {
		return
	}
	r.mutex.Lock()
	r.updateDirectives(state.Directives)
	r.updateServices(state)
	states := maps.Clone(r.states)
	active := r.hasActive()
	r.mutex.Unlock()
	if active {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
	if len(states) > 0 {
		r.front.gateway.SetRollouts(states, r.front.gateway.SinceStart(syncedAt.Add(r.bounds.MaxViewAge())))
	}
}

// updateDirectives brings the states up to what is believed. The lock is held.
func (r *rolloutManager) updateDirectives(listed []discovery.Directive) {
	now := r.now()
	previous := r.directives
	r.directives = make(map[string]discovery.Directive)
	services := make(map[string]struct{})
	for _, d := range listed {
		if !d.Kind.IsRollout() {
			continue
		}
		r.directives[d.Key()] = d
		services[d.Subject] = struct{}{}
		if last, found := previous[d.Key()]; d.Kind == discovery.RolloutRecord && (!found || last.Number != d.Number) {
			r.recordSeenAt[d.Subject] = now
		}
		if d.Kind == discovery.RolloutAlarm {
			r.alarmSeenAt[d.Subject] = now
		}
	}
	r.states = make(map[string]rollout.State, len(services))
	for service := range services {
		r.states[service] = r.stateFor(service, now)
	}
}

// stateFor is what is known of a service's roll-out. The lock is held.
func (r *rolloutManager) stateFor(service string, now time.Duration) rollout.State {
	var state rollout.State
	if order, found := r.directives[discovery.DirectiveKey(discovery.RollOut, service)]; found {
		state.Order, state.Target, state.Duration = order.Number, order.Order.Target, order.Order.Duration
		state.OrderRevision = uint64(order.StoredAt.Revision)
		if !order.Since.IsZero() {
			state.Since, state.OrderTimeKnown = r.front.gateway.SinceStart(order.Since), true
			state.Latest = r.front.gateway.SinceStart(order.Latest)
		}
	}
	if record, there := r.directives[discovery.DirectiveKey(discovery.RolloutRecord, service)]; there {
		state.Record, state.RecordSeenAt, state.RecordLost = record.Record, r.recordSeenAt[service], record.Lost
	}
	if state.RecordMatchesRestoredOrder() {
		state.Order = state.Record.Order
	}
	alarm, there := r.directives[discovery.DirectiveKey(discovery.RolloutAlarm, service)]
	state.AlarmHeld = there && alarm.Record.Order == state.Order
	state.AlarmSeenAt = r.alarmSeenAt[service]
	state.Granted = state.GrantFor(now, r.front.self.ID, time.Since(r.front.startedAt))
	return state
}

// updateServices notes the versions of the services with a roll-out, and which of them stand
// in the table. The lock is held.
func (r *rolloutManager) updateServices(state discovery.ClusterState) {
	r.versions = make(map[string][]string)
	for _, server := range state.Servers {
		if _, hasRollout := r.states[server.Service]; hasRollout && server.State == discovery.Ready {
			r.versions[server.Service] = append(r.versions[server.Service], server.Version)
		}
	}
	for service, versions := range r.versions {
		slices.Sort(versions)
		r.versions[service] = slices.Compact(versions)
	}
	r.knownServices = make(map[string]struct{})
	for service := range r.states {
		if state.Table == nil {
			continue
		}
		if _, inTable := state.Table.Services[service]; inTable {
			r.knownServices[service] = struct{}{}
		}
	}
}

func (r *rolloutManager) now() time.Duration { return r.front.gateway.SinceStart(time.Now()) }

// hasActive reports whether a roll-out has not ended, or is to be written again. The lock is held.
func (r *rolloutManager) hasActive() bool {
	for _, state := range r.states {
		if !state.Ended() || state.NeedsRewrite() {
			return true
		}
	}
	return false
}

// run looks at the roll-outs until ctx ends, as long as one has not ended.
func (r *rolloutManager) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-r.wake:
			r.runActive(ctx)
		}
	}
}

func (r *rolloutManager) runActive(ctx context.Context) {
	active := true
	for active && clock.Sleep(ctx, rolloutInterval) == nil {
		r.mutex.Lock()
		active = r.hasActive()
		r.mutex.Unlock()
		r.recordViewAge()
		r.sendReports(ctx)
		for _, write := range r.decide() {
			go r.writeDecision(ctx, write)
		}
	}
}

// recordViewAge remembers how old the belief of the registry was of late.
func (r *rolloutManager) recordViewAge() {
	age, now := r.front.viewAge(), time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now.Sub(r.viewAgePeaks[0].since) > viewAgeWindow {
		r.viewAgePeaks[1] = r.viewAgePeaks[0]
		r.viewAgePeaks[0] = viewAgePeak{since: now}
	}
	r.viewAgePeaks[0].maxAge = max(r.viewAgePeaks[0].maxAge, age)
}

// sendReports tells the deciders what this node has seen, when it is time for that.
func (r *rolloutManager) sendReports(ctx context.Context) {
	reports, frequent := r.front.gateway.RolloutReports()
	if len(reports) == 0 {
		return
	}
	interval := reportInterval
	if frequent {
		interval = frequentReportInterval
	}
	r.mutex.Lock()
	due := time.Since(r.reportedAt) >= interval
	if due {
		r.reportedAt = time.Now()
	}
	r.mutex.Unlock()
	if !due {
		return
	}
	for i := range reports {
		reports[i].Node, reports[i].Process = r.front.self.ID, r.front.options.Incarnation
	}
	for _, decider := range discovery.HighestRanked(r.front.agent.Nodes(), deciderCount) {
		if decider.ID == r.front.self.ID {
			r.applyHalts(r.ReceiveReports(reports))
			continue
		}
		go r.sendReportsTo(ctx, decider, reports)
	}
}

func (r *rolloutManager) sendReportsTo(ctx context.Context, decider discovery.Node, reports []rollout.Report) {
	if r.front.relay == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	halts, err := r.front.relay.Report(ctx, decider.Peer, reports)
	if err != nil {
		r.logger.Debug().Err(err).Str("decider", decider.ID).Msg("report on roll-outs not delivered")
		return
	}
	r.applyHalts(halts)
}

func (r *rolloutManager) applyHalts(halts []relay.Halt) {
	for _, halt := range halts {
		r.front.gateway.HaltRollout(halt.Service, halt.Order)
	}
}

// ReceiveReports implements relay.ReportReceiver.
func (r *rolloutManager) ReceiveReports(reports []rollout.Report) (halts []relay.Halt) {
	now := r.now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, report := range reports {
		if _, known := r.states[report.Service]; !known {
			continue
		}
		decider := r.deciderFor(report.Service)
		decider.AddReport(now, report)
		if decider.Halt() {
			halts = append(halts, relay.Halt{Service: report.Service, Order: report.Order})
		}
	}
	return halts
}

// deciderFor is a service's decider. The lock is held.
func (r *rolloutManager) deciderFor(service string) *rollout.Decider {
	decider := r.deciders[service]
	if decider == nil {
		decider = rollout.NewDecider(service, r.bounds)
		r.deciders[service] = decider
	}
	return decider
}

// decide lists what this node should write now.
func (r *rolloutManager) decide() []rollout.Write {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.states) == 0 {
		return nil
	}
	now := r.now()
	nodes := r.front.agent.Nodes()
	input := rollout.DeciderInput{
		DeciderIndex: nodeIndex(r.front.self.ID, discovery.HighestRanked(nodes, deciderCount)),
		Nodes:        nodeIDs(nodes),
		MaxViewAge:   max(r.viewAgePeaks[0].maxAge, r.viewAgePeaks[1].maxAge),
	}
	if serving := r.front.servingNodes.Load(); serving != nil {
		input.ServingNodes = nodeIDs(*serving)
	}
	var writes []rollout.Write
	for _, service := range slices.Sorted(maps.Keys(r.states)) {
		decider := r.deciderFor(service)
		decider.Observe(now, r.deciderInputFor(service, input))
		r.logPhase(service)
		if write, due := decider.Tick(now); due {
			writes = append(writes, write)
		}
	}
	return writes
}

// deciderInputFor adds to what is known of the nodes what is known of a service. The lock is held.
func (r *rolloutManager) deciderInputFor(service string, input rollout.DeciderInput) rollout.DeciderInput {
	input.State = r.states[service]
	input.Versions = r.versions[service]
	_, input.ServiceKnown = r.knownServices[service]
	if order, found := r.directives[discovery.DirectiveKey(discovery.RollOut, service)]; found {
		input.OrderFault = order.Order.Fault
		input.Epoch = uint64(order.StoredAt.Epoch)
	}
	if record, there := r.directives[discovery.DirectiveKey(discovery.RolloutRecord, service)]; there {
		input.Epoch, input.RecordRevision = uint64(record.StoredAt.Epoch), uint64(record.StoredAt.Revision)
	}
	return input
}

// logPhase writes a line when a service's roll-out has come to another phase. The lock is held.
func (r *rolloutManager) logPhase(service string) {
	state := r.states[service]
	if state.Record == nil || r.loggedPhases[service] == state.Record.Phase {
		return
	}
	r.loggedPhases[service] = state.Record.Phase
	r.logger.Info().Str("service", service).Str("target", state.Record.Target).Str("phase", string(state.Record.Phase)).
		Str("reason", state.Record.Reason).Uint64("order", state.Record.Order).Msg("roll-out")
}

// writeDecision carries a decision out. Whatever becomes of it is heard of from the registry.
func (r *rolloutManager) writeDecision(ctx context.Context, write rollout.Write) {
	ctx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	revision, err := r.store.WriteRollout(ctx, write)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	answers, bad := r.deciderFor(write.Service).Judge().Answers()
	line := r.logger.Info().Str("service", write.Service).Str("target", write.Record.Target).
		Str("phase", string(write.Record.Phase)).Str("reason", write.Record.Reason).
		Dur("elapsed_ms", write.Record.Elapsed).Int("answers", answers).Int("bad", bad)
	if errors.Is(err, ErrConflict) {
		r.deciderFor(write.Service).WriteRejected()
	}
	if err != nil {
		line.Err(err).Msg("decision on a roll-out not written")
		return
	}
	line.Uint64("revision", revision).Msg("decision on a roll-out written")
	r.deciderFor(write.Service).WriteAccepted(r.now(), write, revision)
}

// nodeIndex is the place of a node among others; -1 is none.
func nodeIndex(id string, nodes []discovery.Node) int {
	return slices.IndexFunc(nodes, func(n discovery.Node) bool { return n.ID == id })
}

func nodeIDs(nodes []discovery.Node) []string {
	ids := make([]string, 0, len(nodes))
	for _, n := range nodes {
		ids = append(ids, n.ID)
	}
	return ids
}
