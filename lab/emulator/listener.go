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
	limit      int
	setupDelay time.Duration
	// overflow takes the connections above the limit.
	overflow *channelListener

	// mutex guards open, the number of connections within the limit.
	mutex sync.Mutex
	open  int
}

func newLimitedListener(inner net.Listener, limit int, setupDelay time.Duration) *limitedListener {
	return &limitedListener{Listener: inner, limit: limit, setupDelay: setupDelay, overflow: newChannelListener(inner.Addr())}
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			_ = l.overflow.Close()
			return nil, err
		}
		if l.tryReserve() {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.overflow.enqueueConn(conn)
	}
}

func (l *limitedListener) tryReserve() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.limit > 0 && l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

func (l *limitedListener) releaseConn() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
}

// limitedConn is one accepted connection.
type limitedConn struct {
	net.Conn
	listener  *limitedListener
	firstRead sync.Once
	closeOnce sync.Once
}

// Read delays the first read by the setup time.
func (c *limitedConn) Read(buffer []byte) (int, error) {
	c.firstRead.Do(func() {
		if c.listener.setupDelay > 0 {
			time.Sleep(c.listener.setupDelay)
		}
	})
	return c.Conn.Read(buffer)
}

// Close frees the connection's place.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(c.listener.releaseConn)
	return c.Conn.Close()
}

// channelListener accepts the connections that it is handed.
type channelListener struct {
	address   net.Addr
	conns     chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

// maxPendingConns is the number of connections that wait to be accepted; further
// ones are closed.
const maxPendingConns = 16

func newChannelListener(address net.Addr) *channelListener {
	return &channelListener{address: address, conns: make(chan net.Conn, maxPendingConns), done: make(chan struct{})}
}

func (l *channelListener) enqueueConn(conn net.Conn) {
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
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *channelListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return nil
}

// Addr is the address of the listener that hands connections over.
func (l *channelListener) Addr() net.Addr {
	return l.address
}
