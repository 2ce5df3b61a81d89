package node

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/settings"
	"github.com/banksail/banksail/store"
)

// Errors of this package, wrapped.
var (
	// ErrListen: a listener could not be opened.
	ErrListen = errors.New("node: can't listen")
	// ErrAborted: the node ended at once and cut what was in flight.
	ErrAborted = errors.New("node: aborted")
	// ErrServe: a listener failed while the node ran.
	ErrServe = errors.New("node: serving failed")
)

// Options is all that a node needs from outside. A simulation passes an
// in-memory network, store and machine list; the code that runs is the same.
type Options struct {
	// Settings are the process settings, already checked.
	Settings settings.Settings
	// Network opens all sockets but those of Store and MachineList.
	Network Network
	// Store is the platform's key-value service.
	Store store.Conn
	// MachineList is the platform's list of machines.
	MachineList machinelist.Conn
	// Logger is told what happens; it never sees a body.
	Logger zerolog.Logger
	// ProcessMetrics adds the process's own metrics; only one node of a process
	// may have them.
	ProcessMetrics bool
	// Seed makes random choices repeatable; zero picks one.
	Seed uint64
	// Incarnation is greater than that of every earlier run under the same node
	// ID; zero takes the wall clock's nanoseconds.
	Incarnation uint64
}

// SystemNetwork opens the operating system's TCP sockets.
type SystemNetwork struct{ dialer net.Dialer }

// NewSystemNetwork bounds the time to open a connection.
func NewSystemNetwork(dialTimeout time.Duration) *SystemNetwork {
	return &SystemNetwork{dialer: net.Dialer{Timeout: dialTimeout}}
}

// Listen accepts TCP connections.
func (*SystemNetwork) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// DialContext opens a TCP connection.
func (s *SystemNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return s.dialer.DialContext(ctx, network, address)
}
