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
	// idle is how long a spare connection is kept.
	idle time.Duration

	// mutex guards the fields below. Invariants: ready never exceeds size, and
	// holds no connection that was taken; none begins to open while ready and
	// opening together reach size.
	mutex   sync.Mutex
	size    int
	ready   []*spare
	opening int
}

// spare is one open connection that carried nothing yet.
type spare struct {
	net.Conn
	// watched is closed when nothing reads from the connection any more; alive
	// is final then.
	watched chan struct{}
	alive   bool
}

// DialContext returns a spare connection or opens one, and sees to it that
// spares for later requests open.
func (s *spares) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn := s.take()
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

// take returns the newest spare that is still open, nil when there is none.
func (s *spares) take() net.Conn {
	for {
		candidate := s.pop()
		if candidate == nil {
			return nil
		}
		// The past deadline ends the read in watch.
		_ = candidate.SetReadDeadline(time.Unix(1, 0))
		<-candidate.watched
		if candidate.alive && candidate.SetReadDeadline(time.Time{}) == nil {
			return candidate.Conn
		}
		_ = candidate.Close()
	}
}

func (s *spares) pop() *spare {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	newest := len(s.ready) - 1
	if newest < 0 {
		return nil
	}
	taken := s.ready[newest]
	s.ready = s.ready[:newest]
	return taken
}

// refill opens the missing spares in the background. A spare that can't be
// opened is tried again with the next request that needs a connection.
func (s *spares) refill(network, address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for len(s.ready)+s.opening < s.size {
		s.opening++
		go s.open(network, address)
	}
}

func (s *spares) open(network, address string) {
	conn, err := s.dial(context.Background(), network, address)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.opening--
	if err != nil {
		return
	}
	if len(s.ready) >= s.size {
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(s.idle))
	opened := &spare{Conn: conn, watched: make(chan struct{})}
	s.ready = append(s.ready, opened)
	go s.watch(opened)
}

// watch notices when the server closes a spare, or sends what was not asked
// for, and when the spare has idled too long.
func (s *spares) watch(watched *spare) {
	count, err := watched.Read(make([]byte, 1))
	interrupted := count == 0 && errors.Is(err, os.ErrDeadlineExceeded)
	if s.remove(watched) {
		_ = watched.Close()
	}
	watched.alive = interrupted
	close(watched.watched)
}

// remove takes a connection out; it is false when the connection was taken.
func (s *spares) remove(gone *spare) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	index := slices.Index(s.ready, gone)
	if index < 0 {
		return false
	}
	s.ready = slices.Delete(s.ready, index, index+1)
	return true
}

// resize changes the number of spares; those above it close.
func (s *spares) resize(size int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.size = size
	above := max(0, len(s.ready)-size)
	for _, open := range s.ready[:above] {
		_ = open.Close()
	}
	s.ready = slices.Delete(s.ready, 0, above)
}
