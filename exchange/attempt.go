package exchange

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/banksail/banksail/discovery"
)

// errCancelled is wrapped together with ErrNotDelivered if an attempt was cancelled before
// anything was sent.
var errCancelled = errors.New("exchange: cancelled")

// Attempt is one delivery of a request to one server. It must not be passed to Do more than once.
type Attempt struct {
	Request *Request
	Server  discovery.Server
	// Remaining is the time budget of the attempt, counted from the call of Do.
	Remaining time.Duration

	mutex sync.Mutex
	// mutex guards the fields below.
	cancelled  bool
	conn       *connection        // in use by the attempt; nil before and after
	cancelDial context.CancelFunc // set while a connection is being dialed
}

// Cancel aborts the attempt by closing its connection or stopping its dial; the closed
// connection signals the server to stop. It may be called at any time, from any goroutine.
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

// setDialCancel records the function that cancels the dial in progress, or nil after the dial.
// It returns false if the attempt has been cancelled.
func (a *Attempt) setDialCancel(cancel context.CancelFunc) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.cancelDial = cancel
	return !a.cancelled
}

// setConnection records the connection in use by the attempt, or nil once the attempt has
// released it. It returns false if the attempt has been cancelled.
func (a *Attempt) setConnection(conn *connection) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.conn = conn
	return !a.cancelled
}
