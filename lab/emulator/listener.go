package emulator

import (
	"net"
	"sync"
	"time"
)

// limitedListener parts the connections within a limit, whose first read it
// delays, from those above it, which may only carry the fault switches.
type limitedListener struct {
	net.Listener
	limit int
	setup time.Duration
	// above takes the connections above the limit.
	above *channelListener

	// mutex guards open, the number of connections within the limit.
	mutex sync.Mutex
	open  int
}

func newLimitedListener(inner net.Listener, limit int, setup time.Duration) *limitedListener {
	return &limitedListener{Listener: inner, limit: limit, setup: setup, above: newChannelListener(inner.Addr())}
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			_ = l.above.Close()
			return nil, err
		}
		if l.enter() {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.above.hand(conn)
	}
}

func (l *limitedListener) enter() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.limit > 0 && l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

func (l *limitedListener) leave() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
}

// limitedConn is one accepted connection.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	first    sync.Once
	closed   sync.Once
}

// Read delays the first read by the setup time.
func (c *limitedConn) Read(buffer []byte) (int, error) {
	c.first.Do(func() {
		if c.listener.setup > 0 {
			time.Sleep(c.listener.setup)
		}
	})
	return c.Conn.Read(buffer)
}

// Close frees the connection's place.
func (c *limitedConn) Close() error {
	c.closed.Do(c.listener.leave)
	return c.Conn.Close()
}

// channelListener accepts the connections that it is handed.
type channelListener struct {
	address net.Addr
	conns   chan net.Conn
	ended   chan struct{}
	once    sync.Once
}

// pendingBound is the number of connections that wait to be accepted; further
// ones are closed.
const pendingBound = 16

func newChannelListener(address net.Addr) *channelListener {
	return &channelListener{address: address, conns: make(chan net.Conn, pendingBound), ended: make(chan struct{})}
}

func (l *channelListener) hand(conn net.Conn) {
	select {
	case l.conns <- conn:
	default:
		_ = conn.Close()
	}
}

// Accept returns the next connection.
func (l *channelListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *channelListener) Close() error {
	l.once.Do(func() { close(l.ended) })
	return nil
}

// Addr is the address of the listener that hands connections over.
func (l *channelListener) Addr() net.Addr {
	return l.address
}
