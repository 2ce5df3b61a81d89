// Package emulator emulates the services that a node depends on: back ends, the
// key-value service and the machine list. Each emulated service implements the
// real one's HTTP protocol, in-process or on a listener, and injects faults that
// can be changed at run time.
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

// Default values of ServerOptions.
const (
	DefaultSlots       = 4
	DefaultQueueBound  = 16
	DefaultConnections = 70
	DefaultSnapshot    = 1
)

// retryAfter is the back-off that shed replies ask of a client.
const retryAfter = 20 * time.Millisecond

// ServerOptions configures a Server. Zero fields get default values.
type ServerOptions struct {
	// ID identifies the server in execution histories and results.
	ID string
	// Service is the only service that the server answers for; empty means all.
	Service string
	// Ranges lists the key ranges that the server holds; empty means all keys.
	Ranges []coverage.Range
	// Snapshots lists the snapshots that the server holds.
	Snapshots []uint64
	// Slots is the number of requests executed concurrently.
	Slots int
	// QueueBound is the maximum number of queued requests; further ones are shed.
	// A negative value means no queue.
	QueueBound int
	// Connections is the maximum number of open connections; further ones may
	// only access fault settings and the execution history and are otherwise
	// closed. It applies to Serve only.
	Connections int
	// ConnectionSetup delays the first read on each connection. It applies to
	// Serve only.
	ConnectionSetup time.Duration
	// ServiceTime is the distribution of execution times; with the zero value
	// requests take no time.
	ServiceTime Distribution
	// ColdStart is the duration of the warm-up after the start, during which the
	// multiplier of service times falls linearly from ColdFactor to one.
	ColdStart  time.Duration
	ColdFactor float64
	// ItemStride is the distance between keys that hold an item.
	ItemStride uint64
	// Incarnation distinguishes this run of the server from earlier ones.
	Incarnation string
	// Seed seeds the random numbers that determine service times and faults.
	Seed uint64
	// OnExecution is called for each sub-request once its outcome is known, before
	// the reply is sent.
	OnExecution func(Execution)
}

// Server emulates a back end.
type Server struct {
	endpoint
	options  ServerOptions
	started  time.Time
	slots    *slots
	recorder *recorder
	loads    loadHistory

	// mutex guards the fields below. Invariants: thawed is closed if and only if
	// faults.Freeze is off; drainChanges holds the most recent changes of
	// faults.Draining in order of time.
	mutex        sync.Mutex
	random       *rand.Rand
	faults       ServerFaults
	thawed       chan struct{}
	drainChanges []drainChange
	lastReply    *backend.Reply
}

// NewServer returns a server with the given options. It returns
// ErrInvalidDistribution if ServiceTime cannot be sampled.
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

// seedStream is the second word of the PCG seed. It keeps the emulator's random
// numbers independent of those that other packages derive from the same seed.
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

// Serve serves connections of the listener until the server is closed.
// Connections above the limit are closed unless they access the fault settings
// or the execution history, so that the faults of a full or frozen server can
// still be changed.
func (s *Server) Serve(listener net.Listener) error {
	limited := newLimitedListener(listener, s.options.Connections, s.options.ConnectionSetup)
	control := make(chan error, 1)
	go func() { control <- s.servers.serveControl(http.HandlerFunc(s.serveControl), limited.overflow) }()
	err := s.servers.serve(s, limited)
	_ = limited.overflow.Close()
	return errors.Join(err, ignoreClosed(<-control))
}

// serveControl handles a request on a connection above the limit. It aborts all
// requests other than those for the fault settings and the execution history.
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

// Drain shuts the server down gracefully: for the notice period it reports that
// it is draining and refuses new sub-requests; then it closes its listeners and
// waits for in-flight requests. It returns the context's error if the context is
// done first.
func (s *Server) Drain(ctx context.Context, notice time.Duration) error {
	faults := s.Faults()
	faults.Draining = true
	s.SetFaults(faults)
	if err := clock.Sleep(ctx, notice); err != nil {
		return err
	}
	return s.servers.shutdown(ctx)
}

// Faults returns the fault settings.
func (s *Server) Faults() ServerFaults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the fault settings.
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

// Executions returns the execution history in order of arrival.
func (s *Server) Executions() []Execution {
	return s.recorder.history().Executions
}

// drawFault decides at random whether a fault with the given probability occurs.
func (s *Server) drawFault(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < share
}

// serviceTime draws the execution time of a request, including the effects of
// straggling and of the cold start.
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

// coldFactor returns the current multiplier of service times, which falls
// linearly from ColdFactor to one during the cold start.
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

// waitUntilThawed blocks while the server is frozen and returns the context to
// continue with. A frozen process does not notice that its clients disconnect, so
// a request that was blocked continues under a context that is cancelled only
// when the server is closed. It returns that context's error if the server is
// closed while frozen.
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

// errInvalidRequest is returned for requests that violate the protocol.
var errInvalidRequest = errors.New("emulator: invalid request")

func invalidField(field, problem string) error {
	return fmt.Errorf("%w: %s: %s", errInvalidRequest, field, problem)
}
