package gateway

import (
	"net"
	"sync"
	"time"

	"github.com/banksail/banksail/route"
)

// Timeouts for callers' connections before the first route table is known.
const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = time.Minute
)

// callerLimits returns the limits of the route table in force.
func (g *Gateway) callerLimits() route.Limits {
	if table := g.table.Load(); table != nil {
		return table.Limits
	}
	return route.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
}

// WrapListener returns a listener whose connections let the gateway inspect the framing of
// requests. They are closed when a caller exceeds the table's limits on the time to send a header
// or to stay idle. The http.Server must pass every request to the gateway, so it must have
// DisableGeneralOptionsHandler set.
func (g *Gateway) WrapListener(listener net.Listener) net.Listener {
	return &watchedListener{Listener: listener, limits: g.callerLimits}
}

// watchedListener wraps accepted connections in watchedConn.
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
	watched.mutex.Lock()
	defer watched.mutex.Unlock()
	watched.setStateLocked(stateHeader)
	return watched, nil
}

// connState is the state of a caller's connection. It determines the timeout.
type connState int

const (
	// stateActive: a request is being read or answered, without a timeout.
	stateActive connState = iota
	// stateHeader: a request's header is being received, within the header timeout.
	stateHeader
	// stateIdle: the connection is idle between two requests, within the idle timeout.
	stateIdle
)

// watchedConn is a caller's connection that is closed when the timeout of its state expires.
type watchedConn struct {
	net.Conn
	limits  func() route.Limits
	framing framing

	mutex sync.Mutex
	// mutex guards the fields below. Invariant: the timer does not run in stateActive.
	state  connState
	timer  *time.Timer
	closed bool
}

// Read implements net.Conn.
func (c *watchedConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.framing.consume(data[:count])
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if progress := c.framing.progress(); progress != requestNotStarted { // the rest of a body does not extend the idle timeout
		c.setStateLocked(stateOf(progress))
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

// beginRequest records that the next request is being handled and returns its header.
func (c *watchedConn) beginRequest() headerInfo {
	info := c.framing.beginRequest()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setStateLocked(stateActive)
	return info
}

// finishRequest records that the current request has been answered. The next one may have been
// received already.
func (c *watchedConn) finishRequest() {
	c.framing.endRequest()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setStateLocked(stateOf(c.framing.progress()))
}

// stateOf returns the state of a connection whose next request has progressed so far.
func stateOf(progress requestProgress) connState {
	switch progress {
	case requestNotStarted:
		return stateIdle
	case requestStarted:
		return stateHeader
	default:
		return stateActive
	}
}

// setStateLocked changes the state and starts its timeout. If the state is unchanged, the running
// timeout is not extended. The caller holds the mutex.
func (c *watchedConn) setStateLocked(state connState) {
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

// stopTimerLocked stops the timer and changes to stateActive. The caller holds the mutex.
func (c *watchedConn) stopTimerLocked() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.state = stateActive
}

// expire closes the connection if it is still in the given state.
func (c *watchedConn) expire(state connState) {
	c.mutex.Lock()
	expired := c.state == state && !c.closed
	c.mutex.Unlock()
	if expired {
		_ = c.Close()
	}
}
