package node

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// drainTime is how long a listener goes on accepting once it drains.
const drainTime = 20 * time.Millisecond

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
}

// drain makes Accept return what waits, and then net.ErrClosed. It reports
// false when the listener can't drain.
func (l *drainingListener) drain() bool {
	limited, ok := l.Listener.(deadlineListener)
	if !ok {
		return false
	}
	l.draining.Store(true)
	return limited.SetDeadline(time.Now().Add(drainTime)) == nil
}

// Accept waits for the next connection.
func (l *drainingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && l.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = l.Close()
		return nil, net.ErrClosed
	}
	return conn, err
}
