package exchange

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/banksail/banksail/discovery"
)

const (
	// crashDialTimeout bounds the dial of a crash check. An address without a listener refuses
	// connections within a round trip, which takes at most 40 ms between regions.
	crashDialTimeout = 100 * time.Millisecond
	// listenerCloseDelay is how long the connection of a crash check is observed. A process that
	// terminates closes its connections first, and accepts new ones until the last is closed.
	listenerCloseDelay = 20 * time.Millisecond
	// maxCrashDials bounds the dials of one crash check: a server with too many connections
	// resets each new one.
	maxCrashDials = 3
	// lastDialDelay is the pause before the last dial: a proxy in front of a server may accept
	// and then close connections for some milliseconds after the server has crashed.
	lastDialDelay = 10 * time.Millisecond
)

// CrashCheck determines whether a server that lost a connection has crashed.
type CrashCheck struct {
	client *Client
	server discovery.Server
	// conn is the connection under observation; nil once the result is known.
	conn    *connection
	dials   int
	crashed bool
}

// StartCrashCheck dials the server's address once. If the dial fails, the check is complete
// when it returns.
func (c *Client) StartCrashCheck(server discovery.Server) *CrashCheck {
	check := &CrashCheck{client: c, server: server}
	check.dial()
	return check
}

// IsComplete reports whether the result is known, so that Crashed does not block.
func (c *CrashCheck) IsComplete() bool { return c.conn == nil }

// Crashed waits for the result and reports whether the server has crashed: no process listens at
// its address, or the process that accepted a connection closed it within 20 ms and nothing
// listens any more. A connection that stays open is kept for later attempts. A server that does
// not respond at all is not considered crashed.
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

// HasCrashed runs a crash check and waits for its result.
func (c *Client) HasCrashed(server discovery.Server) bool { return c.StartCrashCheck(server).Crashed() }

// closesWithin reports whether an idle connection is closed by the server within the given time.
// Received bytes, which would not belong to any request, count as a close.
func (c *connection) closesWithin(wait time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait)) // on a closed connection the read fails
	_, err := c.reader.Peek(1)
	_ = c.conn.SetReadDeadline(time.Time{})
	return !errors.Is(err, os.ErrDeadlineExceeded)
}
