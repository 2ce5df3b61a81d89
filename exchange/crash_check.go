package exchange

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/banksail/banksail/discovery"
)

const (
	// crashDialTimeout bounds the opening of a connection for a look. An address at which nobody
	// listens answers within a round trip, at most 40 ms between regions.
	crashDialTimeout = 100 * time.Millisecond
	// listenerCloseDelay is how long the connection of a look is watched: a process that ends breaks
	// its connections first, and listens on until the last of them are closed.
	listenerCloseDelay = 20 * time.Millisecond
	// maxCrashDials bounds the connections of one look: a server that has too many resets each.
	maxCrashDials = 3
	// lastDialDelay lies before the last of them: what listens in front of a server may take
	// connections, and break them, for some milliseconds after the server has gone.
	lastDialDelay = 10 * time.Millisecond
)

// CrashCheck finds out whether a server is still there whose connection was lost.
type CrashCheck struct {
	client *Client
	server discovery.Server
	// conn is the connection that tells; nil once it is known how the look ends.
	conn    *connection
	dials   int
	crashed bool
}

// StartCrashCheck asks whether somebody listens at a server's address. Its Crashed says so at once where
// nobody does.
func (c *Client) StartCrashCheck(server discovery.Server) *CrashCheck {
	check := &CrashCheck{client: c, server: server}
	check.dial()
	return check
}

// IsComplete reports whether it is known how the look ends: Crashed does not wait then.
func (c *CrashCheck) IsComplete() bool { return c.conn == nil }

// Crashed reports whether the server has ended: nobody listens at its address, or who did listen
// went within 20 ms. A connection that stays is kept for the next attempt. A server that says
// nothing is not known to have ended.
func (c *CrashCheck) Crashed() bool {
	for c.conn != nil {
		closed := c.conn.closesWithin(listenerCloseDelay)
		c.client.release(c.server.Incarnation(), c.conn, !closed)
		c.conn = nil
		if !closed || c.dials == maxCrashDials {
			break
		}
		if c.dials == maxCrashDials-1 {
			time.Sleep(lastDialDelay)
		}
		c.dial()
	}
	return c.crashed
}

func (c *CrashCheck) dial() {
	c.dials++
	ctx, cancel := context.WithTimeout(context.Background(), crashDialTimeout)
	defer cancel()
	c.client.reserve(c.server.Incarnation())
	conn, err := c.client.dial(ctx, c.server)
	if err != nil {
		c.crashed = IsRefused(err)
		return
	}
	c.conn = conn
}

// HasCrashed is the end of a look.
func (c *Client) HasCrashed(server discovery.Server) bool { return c.StartCrashCheck(server).Crashed() }

// closesWithin reports whether an idle connection ends within a time. Bytes on it, which would
// belong to no request, are taken for an end.
func (c *connection) closesWithin(wait time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait)) // a closed connection fails the read
	_, err := c.reader.Peek(1)
	_ = c.conn.SetReadDeadline(time.Time{})
	return !errors.Is(err, os.ErrDeadlineExceeded)
}
