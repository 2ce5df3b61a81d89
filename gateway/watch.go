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
	watched.await(awaitHeader)
	return watched, nil
}

// awaited is what a caller's connection waits for.
type awaited int

const (
	awaitNothing awaited = iota
	// awaitHeader: the rest of a request's header must come in time.
	awaitHeader
	// awaitRequest: the connection rests between two requests.
	awaitRequest
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
	awaited awaited
	timer   *time.Timer
	closed  bool
}

// Read implements net.Conn.
func (c *watchedConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	switch c.framing.take(data[:count]) {
	case headerBegun:
		c.await(awaitHeader)
	case headerWhole:
		c.await(awaitNothing)
	case headerAwaited:
	}
	return count, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.mutex.Lock()
	c.closed = true
	c.stopLocked()
	c.mutex.Unlock()
	return c.Conn.Close()
}

// answered tells that the request at hand has its answer.
func (c *watchedConn) answered() {
	c.framing.next()
	c.await(awaitRequest)
}

// await starts to wait for something else. A header that is awaited already goes
// on in the time that it has.
func (c *watchedConn) await(what awaited) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.awaited == what || c.closed {
		return
	}
	c.stopLocked()
	c.awaited = what
	limits := c.limits()
	switch what {
	case awaitHeader:
		c.timer = time.AfterFunc(limits.HeaderTimeout, func() { c.expire(awaitHeader) })
	case awaitRequest:
		c.timer = time.AfterFunc(limits.IdleTimeout, func() { c.expire(awaitRequest) })
	case awaitNothing:
	}
}

func (c *watchedConn) stopLocked() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.awaited = awaitNothing
}

// expire closes the connection if it still waits.
func (c *watchedConn) expire(what awaited) {
	c.mutex.Lock()
	waits := c.awaited == what && !c.closed
	c.mutex.Unlock()
	if waits {
		_ = c.Close()
	}
}
