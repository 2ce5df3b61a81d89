package network

import (
	"net"
	"sync"
)

// LimitListener returns a listener that accepts connections from inner and
// immediately closes those that exceed the limit of concurrently open ones.
func LimitListener(inner net.Listener, limit int) net.Listener {
	return &limitListener{Listener: inner, free: limit}
}

type limitListener struct {
	net.Listener
	// mutex guards free, the number of further connections that may be opened.
	mutex sync.Mutex
	free  int
}

// Accept waits for the next connection within the limit and closes those above it.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.tryAcquire() {
			return &limitedConn{Conn: accepted, listener: l}, nil
		}
		_ = accepted.Close()
	}
}

func (l *limitListener) tryAcquire() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.free == 0 {
		return false
	}
	l.free--
	return true
}

func (l *limitListener) release() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.free++
}

type limitedConn struct {
	net.Conn
	listener  *limitListener
	closeOnce sync.Once
}

// Close closes the connection and releases its share of the limit once.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(c.listener.release)
	return c.Conn.Close()
}
