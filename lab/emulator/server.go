// Package emulator holds stand-ins for the peers of a node: back ends, the
// key-value service and the machine list. Each serves the peer's protocol,
// in-process or on a listener, and has fault switches that can be set while it
// runs.
package emulator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/policy"
)

// Defaults of ServerOptions.
const (
	DefaultSlots       = 4
	DefaultQueueBound  = 16
	DefaultConnections = 70
	DefaultSnapshot    = 1
)

// retryAfter is what shed replies ask a client to wait.
const retryAfter = 20 * time.Millisecond

// ServerOptions configures a back end. Zero fields get defaults.
type ServerOptions struct {
	// ID identifies the server in histories.
	ID string
	// Service is the one that the server answers for; empty answers for all.
	Service string
	// Ranges lists the key ranges that the server holds; empty holds all.
	Ranges []coverage.Range
	// Snapshots lists the snapshots that the server holds.
	Snapshots []uint64
	// Slots is the number of requests that run at once.
	Slots int
	// QueueBound is the number of requests that wait; further ones are shed.
	// A negative one means no queue.
	QueueBound int
	// Connections is the number of open connections; further ones are closed
	// at once. It holds for Serve.
	Connections int
	// ConnectionSetup delays the first byte read of each connection. It holds
	// for Serve.
	ConnectionSetup time.Duration
	// ServiceTime describes how long requests run; the zero value takes no time.
	ServiceTime Distribution
	// ColdStart is the time after the start during which the server is slow:
	// service times fall from ColdFactor times the usual to the usual.
	ColdStart  time.Duration
	ColdFactor float64
	// ItemStride is the distance of the keys that hold an item.
	ItemStride uint64
	// Incarnation tells this run of the server from earlier ones.
	Incarnation string
	// Seed makes service times and faults repeatable.
	Seed uint64
	// OnExecution is called for each sub-request, after it ended.
	OnExecution func(Execution)
}

// Server is a back end's stand-in.
type Server struct {
	endpoint
	options  ServerOptions
	started  time.Time
	slots    *slots
	recorder *recorder
	loads    loadHistory

	// mutex guards the fields below. Invariant: thawed is closed whenever
	// faults.Freeze is off; drains holds the changes of faults.Draining in order.
	mutex        sync.Mutex
	random       *rand.Rand
	faults       ServerFaults
	thawed       chan struct{}
	drainChanges []drainChange
	lastReply    *backend.Reply
}

// NewServer returns a back end. It fails on a distribution that can't be sampled.
func NewServer(options ServerOptions) (*Server, error) {
	options = withServerDefaults(options)
	if err := options.ServiceTime.Validate(); err != nil {
		return nil, err
	}
	thawed := make(chan struct{})
	close(thawed)
	server := &Server{
		endpoint: newEndpoint(),
		options:  options,
		started:  time.Now(),
		slots:    &slots{size: options.Slots, queueLimit: max(0, options.QueueBound)},
		recorder: &recorder{server: options.ID, callback: options.OnExecution},
		random:   rand.New(rand.NewPCG(options.Seed, seedStream)),
		thawed:   thawed,
	}
	server.mux.HandleFunc("POST "+backend.QueryPath, server.serveQuery)
	server.mux.HandleFunc("GET "+backend.HealthPath, server.serveHealth)
	server.mux.HandleFunc("GET "+backend.LoadPath, server.serveLoad)
	server.mux.Handle("GET "+ExecutionsPath, server.recorder)
	handleFaults(server.mux, server.Faults, server.SetFaults)
	return server, nil
}

// seedStream parts the emulator's random numbers from other users of a seed.
const seedStream = 0x656d756c61746f72

func withServerDefaults(options ServerOptions) ServerOptions {
	options.Slots = cmp.Or(options.Slots, DefaultSlots)
	options.QueueBound = cmp.Or(options.QueueBound, DefaultQueueBound)
	options.Connections = cmp.Or(options.Connections, DefaultConnections)
	if len(options.Snapshots) == 0 {
		options.Snapshots = []uint64{DefaultSnapshot}
	}
	options.ServiceTime.Kind = cmp.Or(options.ServiceTime.Kind, Fixed)
	options.ColdFactor = cmp.Or(options.ColdFactor, 1)
	options.ItemStride = cmp.Or(options.ItemStride, DefaultItemStride)
	options.Incarnation = cmp.Or(options.Incarnation, "1")
	return options
}

// Serve serves connections of the listener until the server is closed. Those
// above the connection limit are cut, unless they read or set fault switches or
// read the execution history: a full or frozen server can still be switched.
func (s *Server) Serve(listener net.Listener) error {
	limited := newLimitedListener(listener, s.options.Connections, s.options.ConnectionSetup)
	control := make(chan error, 1)
	go func() { control <- s.servers.serveControl(http.HandlerFunc(s.serveControl), limited.overflow) }()
	err := s.servers.serve(s, limited)
	_ = limited.overflow.Close()
	return errors.Join(err, ignoreClosed(<-control))
}

// serveControl serves a connection above the limit.
func (s *Server) serveControl(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != FaultsPath && request.URL.Path != ExecutionsPath {
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(writer, request)
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Drain stops the server as planned: it says that it leaves and refuses new
// sub-requests for the notice time, then closes its listeners and waits for
// what runs. It returns the context's error when that ends first.
func (s *Server) Drain(ctx context.Context, notice time.Duration) error {
	faults := s.Faults()
	faults.Draining = true
	s.SetFaults(faults)
	if err := clock.Sleep(ctx, notice); err != nil {
		return err
	}
	return s.servers.shutdown(ctx)
}

// Faults returns the fault switches.
func (s *Server) Faults() ServerFaults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(faults ServerFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if faults.Freeze && !s.faults.Freeze {
		s.thawed = make(chan struct{})
	}
	if !faults.Freeze && s.faults.Freeze {
		close(s.thawed)
	}
	s.recordDrainChange(faults.Draining)
	s.faults = faults
}

// Executions returns the execution history.
func (s *Server) Executions() []Execution {
	return s.recorder.history().Executions
}

// drawFault draws whether a fault of the given share happens.
func (s *Server) drawFault(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < share
}

// serviceTime draws how long a request runs.
func (s *Server) serviceTime(faults ServerFaults) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	drawn := float64(s.options.ServiceTime.Sample(s.random))
	straggles := faults.StraggleShare == 0 || s.random.Float64() < faults.StraggleShare
	if faults.StraggleFactor > 0 && straggles {
		drawn *= faults.StraggleFactor
	}
	return time.Duration(drawn * s.coldFactor())
}

// coldFactor falls from ColdFactor to one during the cold start.
func (s *Server) coldFactor() float64 {
	age := time.Since(s.started)
	if age >= s.options.ColdStart {
		return 1
	}
	left := 1 - float64(age)/float64(s.options.ColdStart)
	return 1 + (s.options.ColdFactor-1)*left
}

func (s *Server) snapshots(faults ServerFaults) []uint64 {
	if len(faults.Snapshots) > 0 {
		return faults.Snapshots
	}
	return s.options.Snapshots
}

func (s *Server) holdsRange(faults ServerFaults, keys coverage.Range) bool {
	ranges := s.options.Ranges
	if len(faults.Ranges) > 0 {
		ranges = faults.Ranges
	}
	if len(ranges) == 0 {
		return true
	}
	return slices.ContainsFunc(ranges, func(held coverage.Range) bool { return held.Contains(keys) })
}

// waitUntilThawed waits until the server is not frozen. A frozen process does
// not see its callers go, so what arrived while it was frozen runs afterwards
// under a context that only the server's end cancels.
func (s *Server) waitUntilThawed(ctx context.Context) (context.Context, error) {
	s.mutex.Lock()
	thawed := s.thawed
	s.mutex.Unlock()
	select {
	case <-thawed:
		return ctx, nil
	default:
	}
	select {
	case <-thawed:
		return s.servers.ctx, nil
	case <-s.servers.ctx.Done():
		return nil, s.servers.ctx.Err()
	}
}

func durationOf(milliseconds float64) time.Duration {
	return policy.Milliseconds(milliseconds).Duration()
}

// errInvalidRequest: a sub-request that does not follow the protocol.
var errInvalidRequest = errors.New("emulator: invalid request")

func invalidField(field, problem string) error {
	return fmt.Errorf("%w: %s: %s", errInvalidRequest, field, problem)
}
