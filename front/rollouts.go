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

// ErrConflict is returned for a conditional write whose condition does not hold, because another
// write came first.
var ErrConflict = errors.New("front: write conflict")

// RolloutStore stores the nodes' records of roll-outs in the registry.
type RolloutStore interface {
	// WriteRollout writes a record and the status for the operator, provided that order and record
	// are at the given revisions, and returns the record's new revision. Its error wraps
	// ErrConflict if they are not; after any other error the record may have been written.
	WriteRollout(ctx context.Context, write rollout.Write) (revision uint64, err error)
}

const (
	// rolloutInterval is the time between two passes over the active roll-outs.
	rolloutInterval = 100 * time.Millisecond
	// reportInterval is the time between two reports of a node. frequentReportInterval applies
	// while a target receives much traffic, so that the deciders learn of bad answers sooner.
	reportInterval         = 500 * time.Millisecond
	frequentReportInterval = 250 * time.Millisecond
	// reportTimeout limits the delivery of one report, and rolloutWriteTimeout a write to the
	// registry.
	reportTimeout       = 250 * time.Millisecond
	rolloutWriteTimeout = time.Second
	// deciderCount is the number of nodes that receive the reports and may decide.
	deciderCount = 3
	// viewAgeWindow is the length of a window over which the maximum age of the view is kept.
	viewAgeWindow = 15 * time.Second
)

// rolloutManager runs a node's part in roll-outs: it passes their state to the gateway, reports the
// node's observations to the deciders, and decides if this node is a decider.
type rolloutManager struct {
	front *Front
	store RolloutStore
	// wake signals that a roll-out may have become active; it holds one token.
	wake   chan struct{}
	bounds rollout.Bounds
	logger zerolog.Logger

	mutex sync.Mutex
	// mutex guards the fields below.
	directives    map[string]discovery.Directive
	versions      map[string][]string // versions of the ready servers, by service
	knownServices map[string]struct{} // services with a roll-out that are in the table
	states        map[string]rollout.State
	recordSeenAt  map[string]time.Duration // when the current record was first seen, by service
	alarmSeenAt   map[string]time.Duration // when the alarm was last seen, by service
	deciders      map[string]*rollout.Decider
	viewAgePeaks  [2]viewAgePeak // current window and the one before
	history       viewHistory
	reportedAt    time.Time
	// loggedPhases holds the last logged phase of each service's roll-out.
	loggedPhases map[string]rollout.Phase
}

// viewAgePeak is the maximum age of the view within a window.
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

// enabled reports whether this node takes part in roll-outs on request.
func (r *rolloutManager) enabled() bool { return r.bounds.Enabled() && r.store != nil }

// update applies a new view of the cluster, whose data was read from the registry at syncedAt.
func (r *rolloutManager) update(state discovery.ClusterState, syncedAt time.Time) {
	if !r.enabled() {
		return
	}
	r.mutex.Lock()
	r.history.recordView(r.now(), r.front.gateway.SinceStart(syncedAt), state.Epoch)
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

// updateDirectives rebuilds the roll-out states from the listed directives. The caller holds the
// mutex.
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

// stateFor returns the state of a service's roll-out. The caller holds the mutex.
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
	if record, found := r.directives[discovery.DirectiveKey(discovery.RolloutRecord, service)]; found {
		state.Record, state.RecordSeenAt, state.RecordLost = record.Record, r.recordSeenAt[service], record.Lost
	}
	if state.RecordMatchesRestoredOrder() {
		state.Order = state.Record.Order
	}
	alarm, found := r.directives[discovery.DirectiveKey(discovery.RolloutAlarm, service)]
	state.AlarmHeld = found && alarm.Record.Order == state.Order
	state.AlarmSeenAt = r.alarmSeenAt[service]
	state.Granted = state.GrantFor(now, r.front.self.ID, time.Since(r.front.startedAt))
	return state
}

// updateServices updates the server versions of the services with a roll-out, and which of these
// services are in the table. The caller holds the mutex.
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

// hasActive reports whether any roll-out has not ended or needs to be rewritten. The caller holds
// the mutex.
func (r *rolloutManager) hasActive() bool {
	for _, state := range r.states {
		if !state.Ended() || state.NeedsRewrite() {
			return true
		}
	}
	return false
}

// run processes roll-outs while any is active, until ctx ends.
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
	r.mutex.Lock()
	r.history.startPasses(r.now())
	r.mutex.Unlock()
	active := true
	for active && clock.Sleep(ctx, rolloutInterval) == nil {
		r.mutex.Lock()
		r.history.recordPass(r.now())
		active = r.hasActive()
		if !active {
			r.history.endPasses()
		}
		r.mutex.Unlock()
		r.recordViewAge()
		r.sendReports(ctx)
		for _, write := range r.decide() {
			go r.writeDecision(ctx, write)
		}
	}
}

// recordViewAge tracks the recent maximum age of the node's view of the registry.
func (r *rolloutManager) recordViewAge() {
	now, passTime := time.Now(), r.now() // before the age, which must not be too low if the process is suspended here
	age := r.front.viewAge()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if age >= 0 {
		r.history.recordSync(passTime - age)
	}
	if now.Sub(r.viewAgePeaks[0].since) > viewAgeWindow {
		r.viewAgePeaks[1] = r.viewAgePeaks[0]
		r.viewAgePeaks[0] = viewAgePeak{since: now}
	}
	r.viewAgePeaks[0].maxAge = max(r.viewAgePeaks[0].maxAge, age)
}

// sendReports reports this node's observations to the deciders if the report interval has passed.
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
		r.logger.Debug().Err(err).Str("decider", decider.ID).Msg("cannot deliver roll-out reports")
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

// deciderFor returns a service's decider, creating it if necessary. The caller holds the mutex.
func (r *rolloutManager) deciderFor(service string) *rollout.Decider {
	decider := r.deciders[service]
	if decider == nil {
		decider = rollout.NewDecider(service, r.bounds)
		r.deciders[service] = decider
	}
	return decider
}

// decide returns the records that this node should write now.
func (r *rolloutManager) decide() []rollout.Write {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.states) == 0 {
		return nil
	}
	now := r.now()
	r.history.recordPass(now)
	nodes := r.front.agent.Nodes()
	input := rollout.DeciderInput{
		DeciderIndex: nodeIndex(r.front.self.ID, discovery.HighestRanked(nodes, deciderCount)),
		Nodes:        nodeIDs(nodes),
		MaxViewAge:   max(r.viewAgePeaks[0].maxAge, r.viewAgePeaks[1].maxAge),
		History:      r.history.forDecider(now, discovery.RestoreGrace(r.front.options.Settings.EntryTTL)),
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

// deciderInputFor completes the input, which describes the nodes, with the state of a service. The
// caller holds the mutex.
func (r *rolloutManager) deciderInputFor(service string, input rollout.DeciderInput) rollout.DeciderInput {
	input.State = r.states[service]
	input.Versions = r.versions[service]
	_, input.ServiceKnown = r.knownServices[service]
	if order, found := r.directives[discovery.DirectiveKey(discovery.RollOut, service)]; found {
		input.OrderFault = order.Order.Fault
		input.Epoch = uint64(order.StoredAt.Epoch)
	}
	if record, found := r.directives[discovery.DirectiveKey(discovery.RolloutRecord, service)]; found {
		input.Epoch, input.RecordRevision = uint64(record.StoredAt.Epoch), uint64(record.StoredAt.Revision)
	}
	return input
}

// logPhase logs a change in the phase of a service's roll-out. The caller holds the mutex.
func (r *rolloutManager) logPhase(service string) {
	state := r.states[service]
	if state.Record == nil || r.loggedPhases[service] == state.Record.Phase {
		return
	}
	r.loggedPhases[service] = state.Record.Phase
	r.logger.Info().Str("service", service).Str("target", state.Record.Target).Str("phase", string(state.Record.Phase)).
		Str("reason", state.Record.Reason).Uint64("order", state.Record.Order).Msg("roll-out")
}

// writeDecision writes a decision to the registry. If the outcome of the write is unknown, it shows
// in the next view of the registry.
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
		r.history.recordConflict(r.now())
	}
	if err != nil {
		line.Err(err).Msg("decision on a roll-out not written")
		return
	}
	line.Uint64("revision", revision).Msg("decision on a roll-out written")
	r.deciderFor(write.Service).WriteAccepted(r.now(), write, revision)
}

// nodeIndex returns the index of a node in a list, or -1.
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
