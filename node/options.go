package node

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/inbound"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/settings"
	"github.com/banksail/banksail/store"
)

// Errors returned by Run, wrapped.
var (
	// ErrListen reports that a listener could not be opened.
	ErrListen = errors.New("node: failed to open listener")
	// ErrAborted reports that the node was aborted and interrupted its
	// in-flight requests.
	ErrAborted = errors.New("node: aborted")
	// ErrServe reports that a listener failed while the node was running.
	ErrServe = errors.New("node: listener failed")
)

// Options holds the external dependencies of a node. A simulation passes an
// in-memory network, store and machine list and runs the same code.
type Options struct {
	// Settings are the process settings, already validated.
	Settings settings.Settings
	// Network opens all sockets except those of Store and MachineList.
	Network Network
	// Store is the platform's key-value store.
	Store store.Conn
	// MachineList is the platform's list of machines.
	MachineList machinelist.Conn
	// Logger receives the node's log events; bodies are never logged.
	Logger zerolog.Logger
	// ProcessMetrics registers the metrics of the process. At most one node per
	// process may set it.
	ProcessMetrics bool
	// Seed makes random choices reproducible; zero selects a random seed.
	Seed uint64
	// Incarnation must exceed that of every earlier run with the same node ID.
	// Zero selects the current Unix time in milliseconds.
	Incarnation uint64
}

// SystemNetwork opens the operating system's TCP sockets.
type SystemNetwork struct{ dialer net.Dialer }

// NewSystemNetwork returns a network whose connection attempts time out after
// dialTimeout.
func NewSystemNetwork(dialTimeout time.Duration) *SystemNetwork {
	return &SystemNetwork{dialer: net.Dialer{Timeout: dialTimeout}}
}

// Listen listens for TCP connections on an address.
func (*SystemNetwork) Listen(address string) (net.Listener, error) {
	return inbound.OpenSocket("tcp", address)
}

// DialContext opens a TCP connection.
func (s *SystemNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return s.dialer.DialContext(ctx, network, address)
}
