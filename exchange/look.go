package exchange

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/banksail/banksail/discovery"
)

const (
	// endedTimeout bounds the opening of a connection for a look. An address at which nobody
	// listens answers within a round trip, at most 40 ms between regions.
	endedTimeout = 100 * time.Millisecond
	// leavingTime is how long the connection of a look is watched: a process that ends breaks
	// its connections first, and listens on until the last of them are closed.
	leavingTime = 20 * time.Millisecond
	// mostLooks bounds the connections of one look: a server that has too many resets each.
	mostLooks = 3
	// lookPause lies before the last of them: what listens in front of a server may take
	// connections, and break them, for some milliseconds after the server has gone.
	lookPause = 10 * time.Millisecond
)

// CrashCheck finds out whether a server is still there whose connection was lost.
type CrashCheck struct {
	client *Client
	server discovery.Server
	// conn is the connection that tells; nil once it is known how the look ends.
	conn  *connection
	looks int
	ended bool
}

// StartCrashCheck asks whether somebody listens at a server's address. Its Crashed says so at once where
// nobody does.
func (c *Client) StartCrashCheck(server discovery.Server) *CrashCheck {
	l := &CrashCheck{client: c, server: server}
	l.dial()
	return l
}

// IsComplete reports whether it is known how the look ends: Crashed does not wait then.
func (l *CrashCheck) IsComplete() bool { return l.conn == nil }

// Crashed reports whether the server has ended: nobody listens at its address, or who did listen
// went within 20 ms. A connection that stays is kept for the next attempt. A server that says
// nothing is not known to have ended.
func (l *CrashCheck) Crashed() bool {
	for l.conn != nil {
		broken := l.conn.breaksWithin(leavingTime)
		l.client.release(l.server.Incarnation(), l.conn, !broken)
		l.conn = nil
		if !broken || l.looks == mostLooks {
			break
		}
		if l.looks == mostLooks-1 {
			time.Sleep(lookPause)
		}
		l.dial()
	}
	return l.ended
}

func (l *CrashCheck) dial() {
	l.looks++
	ctx, cancel := context.WithTimeout(context.Background(), endedTimeout)
	defer cancel()
	l.client.count(l.server.Incarnation())
	conn, err := l.client.open(ctx, l.server)
	if err != nil {
		l.ended = IsRefused(err)
		return
	}
	l.conn = conn
}

// HasCrashed is the end of a look.
func (c *Client) HasCrashed(server discovery.Server) bool { return c.StartCrashCheck(server).Crashed() }

// breaksWithin reports whether an idle connection ends within a time. Bytes on it, which would
// belong to no request, are taken for an end.
func (c *connection) breaksWithin(wait time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait)) // a closed connection fails the read
	_, err := c.reader.Peek(1)
	_ = c.conn.SetReadDeadline(time.Time{})
	return !errors.Is(err, os.ErrDeadlineExceeded)
}
