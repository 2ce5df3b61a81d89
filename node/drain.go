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
	// drainQuietPeriod is the time without a new connection after which a draining
	// listener closes.
	drainQuietPeriod = 2 * time.Millisecond
	// maxDrainTime bounds the draining when connections keep coming.
	maxDrainTime = 200 * time.Millisecond
)

// deadlineListener is a listener whose Accept can be limited in time, as the
// operating system's can.
type deadlineListener interface {
	net.Listener
	SetDeadline(at time.Time) error
}

// drainingListener hands out the connections that the operating system has
// already taken for it before it closes. Closing at once would reset them, and
// with them requests that their callers have already written.
type drainingListener struct {
	net.Listener
	draining atomic.Bool
	// isQuiet says that no connection came since the deadline was set, and end is
	// when draining ends at the latest; only Accept uses them.
	isQuiet       bool
	drainDeadline time.Time
}

// drain makes Accept return what waits, and then net.ErrClosed. A listener
// without deadlines closes at once.
func (l *drainingListener) drain() {
	l.draining.Store(true)
	limited, ok := l.Listener.(deadlineListener)
	if !ok || limited.SetDeadline(time.Now().Add(drainQuietPeriod)) != nil {
		_ = l.Close()
	}
}

// Accept waits for the next connection. A deadline that has passed hides what
// waits, so a draining listener closes only after a whole quiet period.
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

// extendDrain starts another period unless one has passed without a connection.
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

// requestTracker counts the connections of a server that may carry a request:
// those on which none has come yet, and those with one in progress.
//
// http.Server.Shutdown alone is not enough for a planned stop: it drops without
// a response each request that it reads after its call.
type requestTracker struct {
	mutex sync.Mutex
	// mutex guards the fields below. Invariant: once waited for, none is closed
	// as soon as connections is empty.
	connections map[net.Conn]struct{}
	drained     chan struct{}
}

func newRequestTracker() *requestTracker {
	return &requestTracker{connections: make(map[net.Conn]struct{})}
}

// track follows a connection's state; it is the server's ConnState.
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

// wait returns when no connection may carry a request, or when ctx ends. No
// connection may be accepted any more; wait is called once.
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
