// Package delivery tells whether any byte of an HTTP request may have reached
// its server.
//
// The connections that a wrapped Dial returns count the bytes written. A
// Tracker, attached to one request's context, notes the connections that the
// request used; Seal then closes them for further writes and reports whether
// anything was written, so that the answer can't change afterwards.
package delivery

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// DialFunc opens a connection to an IP number and port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WrapDial returns a DialFunc whose connections count what is written to them.
func WrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: inner}, nil
	}
}

// countingConn counts the bytes that its inner connection accepted.
type countingConn struct {
	net.Conn

	// mutex guards the fields below and is held during a write. Invariant: once
	// sealed is true, written never changes.
	mutex   sync.Mutex
	written uint64
	sealed  bool
}

// Write passes data on unless the connection is sealed.
func (c *countingConn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	count, err := c.Conn.Write(data)
	c.written += uint64(max(count, 0))
	return count, err
}

// seal closes the connection, which ends a write in progress, and returns the
// final count.
func (c *countingConn) seal() uint64 {
	_ = c.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sealed = true
	return c.written
}

func (c *countingConn) count() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.written
}

// connUse is one connection with its count when the request took it.
type connUse struct {
	conn  *countingConn
	start uint64
}

// Tracker notes the connections that one request used.
type Tracker struct {
	// mutex guards the fields below. Invariant: uses holds every connection
	// handed to the request, in order, before a byte of it is written.
	mutex     sync.Mutex
	uses      []connUse
	untracked bool
	reused    bool
}

// Track returns a context to send one request with, and its tracker.
func Track(ctx context.Context) (context.Context, *Tracker) {
	tracker := &Tracker{}
	trace := &httptrace.ClientTrace{GotConn: tracker.gotConn}
	return httptrace.WithClientTrace(ctx, trace), tracker
}

func (t *Tracker) gotConn(info httptrace.GotConnInfo) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reused = info.Reused
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		t.untracked = true
		return
	}
	t.uses = append(t.uses, connUse{conn: conn, start: conn.count()})
}

// Seal closes the request's connections and reports whether any byte of the
// request may have been written. Call it after the request failed.
func (t *Tracker) Seal() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	written := t.untracked
	for _, used := range t.uses {
		if used.conn.seal() != used.start {
			written = true
		}
	}
	return written
}

// Reused reports whether the request's last connection had carried another
// request before.
func (t *Tracker) Reused() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.reused
}
