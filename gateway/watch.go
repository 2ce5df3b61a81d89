package gateway

import (
	"net"
	"sync"
	"time"

	"github.com/banksail/banksail/route"
)

// Limits of callers while no table is known.
const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = time.Minute
)

// callerLimits are those of the table in force.
func (g *Gateway) callerLimits() route.Limits {
	if table := g.table.Load(); table != nil {
		return table.Limits
	}
	return route.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
}

// WrapListener lets the gateway see the framing of the requests that come in, and hold
// callers to the table's limits on the time that a header takes and that a
// connection rests.
func (g *Gateway) WrapListener(listener net.Listener) net.Listener {
	return &watchedListener{Listener: listener, limits: g.callerLimits}
}

// watchedListener hands out connections that are watched.
type watchedListener struct {
	net.Listener
	limits func() route.Limits
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	watched := &watchedConn{Conn: conn, limits: l.limits}
	watched.setState(stateHeader)
	return watched, nil
}

// awaited is what a caller's connection waits for.
type connState int

const (
	stateActive connState = iota
	// stateHeader: the rest of a request's header must come in time.
	stateHeader
	// stateIdle: the connection rests between two requests.
	stateIdle
)

// watchedConn is a caller's connection. It is closed when what it waits for does
// not come in time.
type watchedConn struct {
	net.Conn
	limits  func() route.Limits
	framing framing

	mutex sync.Mutex
	// mutex guards the fields below. Invariant: the timer runs only while something
	// is awaited.
	state  connState
	timer  *time.Timer
	closed bool
}

// Read implements net.Conn.
func (c *watchedConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	switch c.framing.consume(data[:count]) {
	case headerStarted:
		c.setState(stateHeader)
	case headerComplete:
		c.setState(stateActive)
	case headerNotStarted:
	}
	return count, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.mutex.Lock()
	c.closed = true
	c.stopTimerLocked()
	c.mutex.Unlock()
	return c.Conn.Close()
}

// finishRequest tells that the request at hand has its answer.
func (c *watchedConn) finishRequest() {
	c.framing.reset()
	c.setState(stateIdle)
}

// setState starts to wait for something else. A header that is awaited already goes
// on in the time that it has.
func (c *watchedConn) setState(state connState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == state || c.closed {
		return
	}
	c.stopTimerLocked()
	c.state = state
	limits := c.limits()
	switch state {
	case stateHeader:
		c.timer = time.AfterFunc(limits.HeaderTimeout, func() { c.expire(stateHeader) })
	case stateIdle:
		c.timer = time.AfterFunc(limits.IdleTimeout, func() { c.expire(stateIdle) })
	case stateActive:
	}
}

func (c *watchedConn) stopTimerLocked() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.state = stateActive
}

// expire closes the connection if it still waits.
func (c *watchedConn) expire(state connState) {
	c.mutex.Lock()
	expired := c.state == state && !c.closed
	c.mutex.Unlock()
	if expired {
		_ = c.Close()
	}
}
