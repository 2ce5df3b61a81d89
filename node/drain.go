package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainQuietPeriod is the time without a new connection after which a
	// draining listener closes.
	drainQuietPeriod = 2 * time.Millisecond
	// maxDrainTime bounds the drain if connections keep arriving.
	maxDrainTime = 200 * time.Millisecond
)

// deadlineListener is a listener whose Accept can time out, such as
// *net.TCPListener.
type deadlineListener interface {
	net.Listener
	SetDeadline(at time.Time) error
}

// drainingListener returns the connections that the kernel has already accepted
// before it closes. Closing at once would reset those connections, and with
// them requests that callers have already written.
type drainingListener struct {
	net.Listener
	draining atomic.Bool
	// isQuiet reports that no connection was accepted since the deadline was
	// last set; drainDeadline is when the drain ends at the latest. Only Accept
	// uses them.
	isQuiet       bool
	drainDeadline time.Time
}

// drain makes Accept return the pending connections and then net.ErrClosed. A
// listener that does not support deadlines is closed at once.
func (l *drainingListener) drain() {
	l.draining.Store(true)
	limited, ok := l.Listener.(deadlineListener)
	if !ok || limited.SetDeadline(time.Now().Add(drainQuietPeriod)) != nil {
		_ = l.Close()
	}
}

// Accept waits for the next connection. An expired deadline hides pending
// connections, so a draining listener closes only after a complete quiet
// period.
func (l *drainingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.isQuiet = false
			return conn, nil
		}
		if !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if !l.extendDrain() {
			_ = l.Close()
			return nil, net.ErrClosed
		}
	}
}

// extendDrain starts another quiet period and returns true, unless the last
// period passed without a connection or maxDrainTime is exceeded.
func (l *drainingListener) extendDrain() bool {
	now := time.Now()
	if l.drainDeadline.IsZero() {
		l.drainDeadline = now.Add(maxDrainTime)
	}
	if l.isQuiet || now.After(l.drainDeadline) {
		return false
	}
	l.isQuiet = true
	limited, ok := l.Listener.(deadlineListener)
	return ok && limited.SetDeadline(now.Add(drainQuietPeriod)) == nil
}

// requestTracker tracks the server connections that may carry a request: new
// connections on which no request has arrived yet, and those with a request in
// progress.
//
// http.Server.Shutdown alone does not suffice for a planned stop: it closes,
// without a response, the connection of each request that it reads after the
// call.
type requestTracker struct {
	mutex sync.Mutex
	// mutex guards the fields below. Invariant: after wait was called, drained
	// is closed as soon as connections is empty.
	connections map[net.Conn]struct{}
	drained     chan struct{}
}

func newRequestTracker() *requestTracker {
	return &requestTracker{connections: make(map[net.Conn]struct{})}
}

// track updates the state of a connection; it is the server's ConnState hook.
func (o *requestTracker) track(conn net.Conn, state http.ConnState) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if state == http.StateNew || state == http.StateActive {
		o.connections[conn] = struct{}{}
		return
	}
	delete(o.connections, conn)
	o.signalIfDrained()
}

// wait returns when no connection may carry a request, or when ctx ends. It is
// called once, after the server stopped accepting connections.
func (o *requestTracker) wait(ctx context.Context) {
	o.mutex.Lock()
	none := make(chan struct{})
	o.drained = none
	o.signalIfDrained()
	o.mutex.Unlock()
	select {
	case <-none:
	case <-ctx.Done():
	}
}

func (o *requestTracker) signalIfDrained() {
	if o.drained != nil && len(o.connections) == 0 {
		close(o.drained)
		o.drained = nil
	}
}
