package emulator

import (
	"net"
	"sync"
	"time"
)

// limitedListener accepts connections up to a limit and delays the first read of
// each by setupDelay. Connections above the limit go to overflow, where only
// fault settings and the execution history are served.
type limitedListener struct {
	net.Listener
	limit      int
	setupDelay time.Duration
	// overflow receives the connections above the limit.
	overflow *channelListener

	// mutex guards open, the number of open connections within the limit.
	mutex sync.Mutex
	open  int
}

func newLimitedListener(inner net.Listener, limit int, setupDelay time.Duration) *limitedListener {
	return &limitedListener{Listener: inner, limit: limit, setupDelay: setupDelay, overflow: newChannelListener(inner.Addr())}
}

// Accept waits for the next connection within the limit. It passes connections
// above the limit to overflow, and closes overflow on error.
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

// limitedConn is a connection that counts towards its listener's limit.
type limitedConn struct {
	net.Conn
	listener  *limitedListener
	firstRead sync.Once
	closeOnce sync.Once
}

// Read reads from the connection; the first call sleeps for the listener's
// setupDelay.
func (c *limitedConn) Read(buffer []byte) (int, error) {
	c.firstRead.Do(func() {
		if c.listener.setupDelay > 0 {
			time.Sleep(c.listener.setupDelay)
		}
	})
	return c.Conn.Read(buffer)
}

// Close closes the connection and releases its share of the limit once.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(c.listener.releaseConn)
	return c.Conn.Close()
}

// channelListener is a net.Listener whose connections come from enqueueConn.
type channelListener struct {
	address   net.Addr
	conns     chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

// maxPendingConns bounds the connections that wait for channelListener.Accept;
// further ones are closed.
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

// Accept waits for the next connection; it returns net.ErrClosed after Close.
func (l *channelListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *channelListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address of the listener that accepted the connections.
func (l *channelListener) Addr() net.Addr {
	return l.address
}
