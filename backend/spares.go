package backend

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/banksail/banksail/internal/delivery"
)

// spares keeps a number of connections to one server open in advance, so that a
// request does not wait for a dial.
type spares struct {
	dial delivery.DialFunc
	// idleTimeout is how long a spare connection is kept.
	idleTimeout time.Duration

	// mutex guards the fields below.
	//
	// Invariants: len(idle) never exceeds target, and idle holds no connection
	// that has been taken. No dial starts while len(idle)+dialing is at least
	// target.
	mutex   sync.Mutex
	target  int
	idle    []*spare
	dialing int
}

// spare is an open connection that has not carried any data yet.
type spare struct {
	net.Conn
	// readDone is closed when the read in watchUntilClosed has returned.
	// reusable does not change after that.
	readDone chan struct{}
	reusable bool
}

// DialContext returns a spare connection or opens one, and starts dials in the
// background to replace the spares that are missing.
func (s *spares) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn := s.takeOpen()
	if conn == nil {
		opened, err := s.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn = opened
	}
	s.refill(network, address)
	return conn, nil
}

// takeOpen returns the newest spare that is still open, or nil if there is
// none.
func (s *spares) takeOpen() net.Conn {
	for {
		candidate := s.popNewest()
		if candidate == nil {
			return nil
		}
		// A deadline in the past interrupts the read in watchUntilClosed.
		_ = candidate.SetReadDeadline(time.Unix(1, 0))
		<-candidate.readDone
		if candidate.reusable && candidate.SetReadDeadline(time.Time{}) == nil {
			return candidate.Conn
		}
		_ = candidate.Close()
	}
}

// popNewest removes and returns the newest spare, or nil if there is none.
func (s *spares) popNewest() *spare {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	newest := len(s.idle) - 1
	if newest < 0 {
		return nil
	}
	conn := s.idle[newest]
	s.idle = s.idle[:newest]
	return conn
}

// refill dials the missing spares in the background. A failed dial is not
// repeated until the next request that needs a connection.
func (s *spares) refill(network, address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for len(s.idle)+s.dialing < s.target {
		s.dialing++
		go s.openSpare(network, address)
	}
}

// openSpare dials one spare and closes it again if target was lowered during
// the dial.
func (s *spares) openSpare(network, address string) {
	conn, err := s.dial(context.Background(), network, address)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dialing--
	if err != nil {
		return
	}
	if len(s.idle) >= s.target {
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(s.idleTimeout))
	opened := &spare{Conn: conn, readDone: make(chan struct{})}
	s.idle = append(s.idle, opened)
	go s.watchUntilClosed(opened)
}

// watchUntilClosed waits until the server closes a spare or sends unsolicited
// data, or idleTimeout has passed, and then removes and closes the spare. If
// takeOpen interrupts the read, the spare stays open and is reusable.
func (s *spares) watchUntilClosed(conn *spare) {
	count, err := conn.Read(make([]byte, 1))
	interrupted := count == 0 && errors.Is(err, os.ErrDeadlineExceeded)
	if s.remove(conn) {
		_ = conn.Close()
	}
	conn.reusable = interrupted
	close(conn.readDone)
}

// remove takes a connection out of idle. It returns false if the connection had
// already been taken.
func (s *spares) remove(conn *spare) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	index := slices.Index(s.idle, conn)
	if index < 0 {
		return false
	}
	s.idle = slices.Delete(s.idle, index, index+1)
	return true
}

// resize changes the number of spares to keep and closes those above it, oldest
// first.
func (s *spares) resize(target int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.target = target
	excess := max(0, len(s.idle)-target)
	for _, conn := range s.idle[:excess] {
		_ = conn.Close()
	}
	s.idle = slices.Delete(s.idle, 0, excess)
}
