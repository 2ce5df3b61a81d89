package exchange

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/banksail/banksail/discovery"
)

// errCancelled is wrapped in ErrNotDelivered for an attempt that was cancelled before
// anything was sent.
var errCancelled = errors.New("exchange: cancelled")

// Attempt is one sending of a request to one server. It is used for one Do.
type Attempt struct {
	Request *Request
	Server  discovery.Server
	// Remaining is the time that is left for it when Do is called.
	Remaining time.Duration

	mutex sync.Mutex
	// mutex guards the fields below.
	cancelled  bool
	conn       *connection        // that carries it
	cancelDial context.CancelFunc // while a connection is opened for it
}

// Cancel ends the attempt: its connection is closed, which tells the server to stop. It
// may be called at any time, from any goroutine.
func (a *Attempt) Cancel() {
	a.mutex.Lock()
	a.cancelled = true
	conn, cancelDial := a.conn, a.cancelDial
	a.mutex.Unlock()
	if cancelDial != nil {
		cancelDial()
	}
	if conn != nil {
		conn.close()
	}
}

// setDialCancel notes how to stop the opening of a connection; nil is none any more. It reports
// whether the attempt goes on.
func (a *Attempt) setDialCancel(cancel context.CancelFunc) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.cancelDial = cancel
	return !a.cancelled
}

// setConnection notes the connection that carries the attempt; nil is none any more. It
// reports whether the attempt goes on.
func (a *Attempt) setConnection(conn *connection) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.conn = conn
	return !a.cancelled
}
