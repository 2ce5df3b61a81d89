// Package simulation runs complete nodes on an in-memory network under a fault
// schedule, together with emulated back ends, store and machine list, and
// simulated callers and operators. It records the history for the checker.
//
// Run must be called inside a testing/synctest bubble, which provides a virtual
// clock. The seed determines the faults, the callers' requests and the
// operators' changes, but not the order of goroutines within a bubble, so
// single events may differ between two runs of a seed.
package simulation

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/network"
	"github.com/banksail/banksail/lab/schedule"
	"github.com/banksail/banksail/policy"
)

// ErrSetUp is returned when the simulated system cannot be started.
var ErrSetUp = errors.New("simulation: setup failed")

// Defaults of Options.
const (
	DefaultNodes  = 3
	DefaultGroups = 3
	// DefaultConnections is the limit of open connections of each server.
	DefaultConnections = 70
	DefaultReplicas    = 2
)

// Phases of a run.
const (
	// warmUp is the time from the start of the run until callers begin.
	warmUp = 1500 * time.Millisecond
	// faultsFrom and faultsTo are the earliest and latest start of a fault. Only
	// the second fault of a pair may start later.
	faultsFrom = 2 * time.Second
	faultsTo   = 4 * time.Second
	// probeDuration is how long callers send probes after the recovery bound.
	probeDuration = time.Second
	// completionWait is the time allowed for open requests and tasks to
	// finish before the processes are stopped.
	completionWait = 3 * time.Second
	// timerExpiryWait is longer than any timer of a stopped process.
	timerExpiryWait = 3 * time.Minute
)

// Options configures a run.
type Options struct {
	// Seed determines the schedule, the network's delays and the requests.
	Seed uint64
	// Nodes, Groups and Replicas are the numbers of nodes, of groups of the
	// search service, and of servers in each group. One more group is the pool
	// of the second service.
	Nodes, Groups, Replicas int
	// Connections is the limit of open connections of each server.
	Connections int
	// Checker configures the checker; the zero value means
	// history.DefaultOptions.
	Checker history.Options
	// Faults replaces the schedule generated from the seed, unless nil.
	Faults []schedule.Fault
	// Hooks alter the system under test; tests use them to seed bugs.
	Hooks Hooks
}

// Hooks wrap or replace parts of the system. Nil hooks are ignored.
type Hooks struct {
	// Server wraps a back end's handler outside the recording of arrivals.
	Server func(name string, inner http.Handler) http.Handler
	// InnerServer wraps a back end's handler inside the recording of arrivals.
	InnerServer func(name string, inner http.Handler) http.Handler
	// Caller wraps the callers' transport.
	Caller func(inner http.RoundTripper) http.RoundTripper
	// Fault may inject a fault in place of the simulation. It reports whether
	// it did.
	Fault func(s *System, fault schedule.Fault) bool
	// Stop replaces the planned stop of a node.
	Stop func(s *System, node string)
}

// Result is the outcome of a run.
type Result struct {
	Schedule schedule.Schedule
	History  *history.History
	Report   history.Report
	// Log holds the nodes' log lines, each prefixed with its time and node.
	Log []string
}

// System is a running simulated system.
type System struct {
	options  Options
	layout   layout
	network  *network.Network
	recorder *history.Recorder
	schedule schedule.Schedule
	logs     *logCollector

	platform  *platform
	servers   []*server
	nodes     []*nodeHost
	callers   []*callerHost
	operators *operators

	// tasks tracks the goroutines of faults, callers and operators.
	tasks sync.WaitGroup
}

// Run runs one seed and checks its history. It returns ErrSetUp if the system
// cannot be started.
func Run(options Options) (Result, error) {
	setDefault(&options.Nodes, DefaultNodes)
	setDefault(&options.Groups, DefaultGroups)
	setDefault(&options.Replicas, DefaultReplicas)
	setDefault(&options.Connections, DefaultConnections)
	if options.Checker == (history.Options{}) {
		options.Checker = history.DefaultOptions()
	}
	system, err := newSystem(options)
	if err != nil {
		return Result{}, err
	}
	system.run()
	recorded := system.recorder.Finish()
	return Result{
		Schedule: system.schedule,
		History:  recorded,
		Report:   history.Check(recorded, options.Checker),
		Log:      system.logs.allLines(),
	}, nil
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func newSystem(options Options) (*System, error) {
	s := &System{
		options:  options,
		layout:   newLayout(options),
		network:  network.New(network.Options{Seed: options.Seed}),
		recorder: history.NewRecorder(time.Now()),
	}
	s.logs = &logCollector{recorder: s.recorder}
	s.schedule = schedule.Generate(options.Seed, s.layout.topology(), schedule.Options{
		From: faultsFrom, To: faultsTo,
		MinDuration: 200 * time.Millisecond, MaxDuration: 2500 * time.Millisecond,
		LeaseTimeToLive: 3 * time.Second, MaxDelay: time.Second,
		MinDrainDuration: options.Checker.LeavingGrace + 2*time.Second,
	})
	if options.Faults != nil {
		s.schedule.Faults = options.Faults
	}
	s.recorder.Update(func(h *history.History) {
		h.KeySpaces = []history.KeySpace{{Service: searchService, Range: keySpace}, {Service: noticeService, Range: keySpace}}
		h.FaultsEnd = max(s.schedule.End(), faultsTo)
	})
	if err := s.start(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSetUp, err)
	}
	return s, nil
}

// start starts all processes.
func (s *System) start() error {
	var err error
	if s.platform, err = newPlatform(s); err != nil {
		return err
	}
	for _, group := range s.layout.groups {
		for _, index := range group {
			srv, err := newServer(s, index)
			if err != nil {
				return err
			}
			s.servers = append(s.servers, srv)
		}
	}
	for index := range s.layout.nodes {
		host, err := newNodeHost(s, index)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, host)
		caller, err := newCallerHost(s, index, host)
		if err != nil {
			return err
		}
		s.callers = append(s.callers, caller)
	}
	s.operators, err = newOperators(s)
	return err
}

// run runs all phases and then stops all processes.
func (s *System) run() {
	ctx, cancel := context.WithCancel(context.Background())
	s.operators.bootstrap(ctx)
	s.sleepUntil(warmUp)
	faultsEnd := max(s.schedule.End(), faultsTo)
	for _, fault := range s.schedule.Faults {
		s.tasks.Go(func() { s.inject(fault) })
	}
	end := faultsEnd + s.options.Checker.RecoveryBound + probeDuration
	for _, caller := range s.callers {
		s.tasks.Go(func() { caller.run(ctx, faultsEnd, end) })
	}
	s.tasks.Go(func() { s.operators.run(ctx, faultsEnd) })
	s.sleepUntil(end + completionWait)
	s.tasks.Wait()
	cancel()
	s.recordInForce()
	s.stop()
}

// stop stops all processes. Its effects are not part of the history.
func (s *System) stop() {
	for _, node := range s.nodes {
		node.shutDown()
	}
	for _, caller := range s.callers {
		caller.close()
	}
	s.operators.close()
	for _, server := range s.servers {
		server.shutDown()
	}
	s.platform.shutDown()
	s.network.Close()
	// Virtual time stops advancing when the goroutine that called Run returns,
	// so timers still pending must expire before.
	time.Sleep(timerExpiryWait)
}

func (s *System) sleepUntil(moment time.Duration) {
	time.Sleep(moment - s.recorder.Now())
}

// recordDisturbance records a period in which a node could not take part.
func (s *System) recordDisturbance(kind history.DisturbanceKind, host string, from, to time.Duration) {
	s.recorder.Update(func(h *history.History) {
		h.Disturbances = append(h.Disturbances, history.Disturbance{Kind: kind, Host: host, From: from, To: to})
	})
}

// recordInForce records the full configuration that each node has in force.
// Nodes that do not answer are left out.
func (s *System) recordInForce() {
	for _, node := range s.nodes {
		configuration, err := s.operators.configuration(node)
		if err != nil {
			continue
		}
		at := s.recorder.Now()
		s.recorder.Update(func(h *history.History) {
			h.InForce = append(h.InForce, history.InForce{
				Node: node.name, Revision: uint64(configuration.Revision),
				Digest: digestOf(configuration.Config), At: at,
			})
		})
	}
}

// recordAcceptedConfiguration records a configuration that the store accepted.
func (s *System) recordAcceptedConfiguration(value []byte) {
	record, err := policy.DecodeRecord(value)
	if err != nil {
		return
	}
	accepted := history.Accepted{
		Revision: uint64(record.Revision), Digest: digestOf(record.Config), At: s.recorder.Now(),
	}
	if count := len(record.RecentPlans); count > 0 {
		accepted.PlanID = record.RecentPlans[count-1].ID
	}
	s.recorder.Update(func(h *history.History) { h.Accepted = append(h.Accepted, accepted) })
}
