package inbound

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banksail/banksail/internal/resource"
)

// Timeouts limit how long the other side of a connection may take.
type Timeouts struct {
	// Header is the longest time from the first byte of a request, or from the opening of the
	// connection, to the end of the request's header.
	Header time.Duration
	// Idle is the longest time between two requests.
	Idle time.Duration
}

// Options configures a listener.
type Options struct {
	// Timeouts returns the timeouts in force.
	Timeouts func() Timeouts
	// Connections bounds the number of connections. When there are too many, those are closed that
	// have been waiting for longest for the other side to send something, or the new one if all
	// requests have been received. Nil is no bound.
	Connections *resource.Pool
	// Memory bounds the memory of requests, in bytes, from their first byte until they have been
	// answered. Requests that are being received lose theirs if they make no progress. Nil is no
	// bound.
	Memory *resource.Pool
}

// Listen returns a listener whose connections are of type Conn. The http.Server must have
// ConnContext and DisableGeneralOptionsHandler set, and its handler must call BeginRequest and
// FinishRequest for every request.
func Listen(inner net.Listener, options Options) net.Listener {
	return &listener{Listener: inner, options: options}
}

// listener wraps accepted connections in Conn.
type listener struct {
	net.Listener
	options Options
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: accepted, options: l.options}
		if conn.join() == nil {
			conn.start()
			return conn, nil
		}
		_ = conn.Close() // nothing has been read, so the other side may try elsewhere
	}
}

// connectionKey is the context key of a connection.
type connectionKey struct{}

// ConnContext attaches a connection to the context of its requests. It is used as
// http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if guarded, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connectionKey{}, guarded)
	}
	return ctx
}

// FromContext returns the connection of a request, or nil if no listener of this package accepted
// it.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connectionKey{}).(*Conn)
	return conn
}

// connState is the state of a connection. It determines the timeout.
type connState int

const (
	// stateActive: a request is being read or answered, without a timeout.
	stateActive connState = iota
	// stateHeader: a request's header is being received, within the header timeout.
	stateHeader
	// stateIdle: the connection is idle between two requests, within the idle timeout.
	stateIdle
)

// Conn is a connection that another process opened. It inspects the framing of requests, and is
// closed when the timeout of its state expires.
type Conn struct {
	net.Conn
	options Options
	framing framing
	slot    *resource.Holder // nil if the number of connections has no bound
	// evicted is set once the requests have lost their memory. Reads then fail.
	evicted atomic.Bool

	mutex sync.Mutex
	// mutex guards the fields below. Invariant: the timer does not run in stateActive.
	state  connState
	timer  *time.Timer
	closed bool
	memory requestMemory
}

// join makes the connection one of the pool. Its error is resource.ErrExhausted.
func (c *Conn) join() error {
	if c.options.Connections == nil {
		return nil
	}
	c.slot = c.options.Connections.Join(func() { _ = c.Close() })
	return c.slot.Resize(1)
}

// start starts the timeout of the first request's header.
func (c *Conn) start() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setStateLocked(stateHeader)
}

// Read implements net.Conn.
func (c *Conn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.framing.consume(data[:count])
	if c.slot != nil && count > 0 {
		c.slot.Progress()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.memory.progress()
	progress := c.framing.progress()
	if progress != requestNotStarted { // the rest of a body does not extend the idle timeout
		c.setStateLocked(stateOf(progress))
	}
	if reserveErr := c.reserveHeaderLocked(); reserveErr != nil && progress == requestStarted {
		return 0, os.ErrDeadlineExceeded // net/http closes the connection without an answer after timeouts only
	}
	return count, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mutex.Lock()
	c.closed = true
	c.memory.release()
	c.stopTimerLocked()
	c.mutex.Unlock()
	if c.slot != nil {
		defer c.slot.Leave()
	}
	return c.Conn.Close()
}

// BeginRequest records that the next request is being handled and returns its header.
func (c *Conn) BeginRequest() Header {
	info := c.framing.beginRequest()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setStateLocked(stateActive)
	info.OutOfMemory = c.reserveHeaderLocked() != nil
	return info
}

// FinishRequest records that the current request has been answered. The next one may have been
// received already.
func (c *Conn) FinishRequest() {
	c.framing.endRequest()
	if c.slot != nil {
		c.slot.Unpin()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.finishRequestMemoryLocked()
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
func (c *Conn) setStateLocked(state connState) {
	if c.state == state || c.closed {
		return
	}
	c.stopTimerLocked()
	c.state = state
	timeouts := c.options.Timeouts()
	switch state {
	case stateHeader:
		c.timer = time.AfterFunc(timeouts.Header, func() { c.expire(stateHeader) })
	case stateIdle:
		c.timer = time.AfterFunc(timeouts.Idle, func() { c.expire(stateIdle) })
	case stateActive:
	}
}

// stopTimerLocked stops the timer and changes to stateActive. The caller holds the mutex.
func (c *Conn) stopTimerLocked() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.state = stateActive
}

// expire closes the connection if it is still in the given state.
func (c *Conn) expire(state connState) {
	c.mutex.Lock()
	expired := c.state == state && !c.closed
	c.mutex.Unlock()
	if expired {
		_ = c.Close()
	}
}
