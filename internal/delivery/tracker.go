// Package delivery determines whether any byte of an HTTP request may have
// reached its server.
//
// Connections opened by a wrapped DialFunc count the bytes written. A Tracker,
// attached to the context of one request, records the connections that the
// request used. Seal closes them, blocks further writes and reports whether
// anything was written, so that the result cannot change afterwards.
package delivery

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// DialFunc opens a connection to an IP address and port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WrapDial returns a DialFunc whose connections count the bytes written to them.
func WrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: inner}, nil
	}
}

// countingConn counts the bytes that the underlying connection accepted.
type countingConn struct {
	net.Conn

	// mutex guards the fields below and is held during a write. Invariant: once
	// sealed is set, written does not change.
	mutex   sync.Mutex
	written uint64
	sealed  bool
}

// Write writes to the underlying connection. It returns net.ErrClosed if the
// connection is sealed.
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

// seal closes the connection, which interrupts a write in progress, and returns
// the final number of bytes written.
func (c *countingConn) seal() uint64 {
	_ = c.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sealed = true
	return c.written
}

// count returns the number of bytes written so far.
func (c *countingConn) count() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.written
}

// connUse is a connection that the request used, with the number of bytes that
// had been written to it before.
type connUse struct {
	conn  *countingConn
	start uint64
}

// Tracker records the connections that one request used. Its methods are safe
// for concurrent use.
type Tracker struct {
	// mutex guards the fields below. Invariant: uses holds every connection
	// assigned to the request, in order, before any byte of the request is
	// written to it. untracked is set if one of them does not count bytes.
	mutex     sync.Mutex
	uses      []connUse
	untracked bool
	reused    bool
}

// Track returns a context for sending one request, and the request's Tracker.
func Track(ctx context.Context) (context.Context, *Tracker) {
	tracker := &Tracker{}
	trace := &httptrace.ClientTrace{GotConn: tracker.gotConn}
	return httptrace.WithClientTrace(ctx, trace), tracker
}

// gotConn implements the GotConn hook of httptrace.ClientTrace.
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
// request may have been written. It is called after the request has failed.
// Connections that do not count bytes are reported as written to.
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

// Reused reports whether the request's last connection had been used for an
// earlier request.
func (t *Tracker) Reused() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.reused
}
