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

// spares keeps a few connections to one server open before they are needed,
// so that a query doesn't wait for a new one.
type spares struct {
	dial delivery.DialFunc
	// idleTimeout is how long a spare connection is kept.
	idleTimeout time.Duration

	// mutex guards the fields below. Invariants: ready never exceeds size, and
	// holds no connection that was taken; none begins to open while ready and
	// opening together reach size.
	mutex   sync.Mutex
	target  int
	idle    []*spare
	dialing int
}

// spare is one open connection that carried nothing yet.
type spare struct {
	net.Conn
	// readDone is closed when nothing reads from the connection any more; alive
	// is final then.
	readDone chan struct{}
	reusable bool
}

// DialContext returns a spare connection or opens one, and sees to it that
// spares for later requests open.
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

// takeOpen returns the newest spare that is still open, nil when there is none.
func (s *spares) takeOpen() net.Conn {
	for {
		candidate := s.popNewest()
		if candidate == nil {
			return nil
		}
		// The past deadline ends the read in watch.
		_ = candidate.SetReadDeadline(time.Unix(1, 0))
		<-candidate.readDone
		if candidate.reusable && candidate.SetReadDeadline(time.Time{}) == nil {
			return candidate.Conn
		}
		_ = candidate.Close()
	}
}

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

// refill opens the missing spares in the background. A spare that can't be
// opened is tried again with the next request that needs a connection.
func (s *spares) refill(network, address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for len(s.idle)+s.dialing < s.target {
		s.dialing++
		go s.openSpare(network, address)
	}
}

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

// watchUntilClosed notices when the server closes a spare, or sends what was not asked
// for, and when the spare has idled too long.
func (s *spares) watchUntilClosed(conn *spare) {
	count, err := conn.Read(make([]byte, 1))
	interrupted := count == 0 && errors.Is(err, os.ErrDeadlineExceeded)
	if s.remove(conn) {
		_ = conn.Close()
	}
	conn.reusable = interrupted
	close(conn.readDone)
}

// remove takes a connection out; it is false when the connection was taken.
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

// resize changes the number of spares; those above it close.
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
