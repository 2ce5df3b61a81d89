package network

import (
	"net"
	"sync"
)

// LimitListener closes, as soon as it is accepted, every connection beyond the
// limit of those that are open.
func LimitListener(inner net.Listener, limit int) net.Listener {
	return &limitListener{Listener: inner, free: limit}
}

type limitListener struct {
	net.Listener
	// mutex guards free, the number of connections that may still be opened.
	mutex sync.Mutex
	free  int
}

// Accept waits for the next connection within the limit.
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

// Close closes the connection and frees its place.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(c.listener.release)
	return c.Conn.Close()
}
