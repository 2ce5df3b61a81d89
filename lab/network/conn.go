package network

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"time"
)

// bufferLimit bounds the bytes that one direction of a connection holds.
const bufferLimit = 256 << 10

// jitterShare is the part of a link's delay by which single segments vary.
const jitterShare = 4

// stream is one direction of a connection. Its fields are guarded by the
// network's mutex. Invariant: segments are ordered by their arrival times.
type stream struct {
	network  *Network
	from, to *Process
	segments []segment
	buffered int
	// writeClosed is set once no byte can follow: the sender closed or died.
	writeClosed bool
	// readClosed is set when the receiver closed or died: bytes are dropped.
	readClosed bool
	broken     bool
	// blackholed says that nothing more gets through.
	blackholed bool
	// reverse is the connection's other direction.
	reverse *stream
	// sentToVanished says that data was sent to a machine that has vanished; refused,
	// that the process which took its place has answered with a reset.
	sentToVanished bool
	resetSent      bool
	lastArrival    time.Time
	jitter         *rand.Rand
	changed        chan struct{}
}

// segment is data on its way, or the end of the stream.
type segment struct {
	arrival time.Time
	data    []byte
	endErr  error
	// heldUntilThaw says that the sender was frozen: the segment leaves when it continues.
	heldUntilThaw bool
}

// newConnection makes the two ends of a connection. The lock is held.
func (n *Network) newConnection(dialer, acceptor *Process, local, remote net.Addr) (near, far *conn) {
	n.connectionCount++
	outbound, inbound := n.newStream(dialer, acceptor), n.newStream(acceptor, dialer)
	outbound.reverse, inbound.reverse = inbound, outbound
	near = &conn{process: dialer, local: local, remote: remote, in: inbound, out: outbound}
	far = &conn{process: acceptor, local: remote, remote: local, in: outbound, out: inbound}
	return near, far
}

func (n *Network) newStream(from, to *Process) *stream {
	seed := hashOf(from.host.ip, to.host.ip)
	s := &stream{
		network: n, from: from, to: to,
		jitter:  rand.New(rand.NewPCG(n.options.Seed^seed, n.connectionCount)),
		changed: make(chan struct{}),
	}
	n.streams[s] = struct{}{}
	return s
}

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) connects(one, other string) bool {
	from, to := s.from.host.ip, s.to.host.ip
	return from == one && to == other || from == other && to == one
}

// push puts a segment on its way. The lock is held.
func (s *stream) push(data []byte, endErr error) {
	state := s.network.link(s.from.host.ip, s.to.host.ip)
	delay := state.delay + state.extraDelay
	delay += time.Duration(s.jitter.Int64N(int64(delay)/jitterShare + 1))
	arrival := time.Now().Add(delay)
	if arrival.Before(s.lastArrival) {
		arrival = s.lastArrival
	}
	s.lastArrival = arrival
	s.segments = append(s.segments, segment{
		arrival: arrival, data: data, endErr: endErr, heldUntilThaw: s.from.host.frozen,
	})
	s.buffered += len(data)
	s.wake()
}

// end puts the end of the stream on its way, once; a nil reason is a machine
// that vanished, of which nothing is heard. The lock is held.
func (s *stream) closeWrite(reason error) {
	if s.writeClosed {
		return
	}
	s.writeClosed = true
	if !s.broken && reason != nil {
		s.push(nil, reason)
	}
	s.removeIfClosed()
}

// closeRead drops what is sent from now on. The lock is held.
func (s *stream) closeRead() {
	s.readClosed = true
	s.segments = nil
	s.buffered = 0
	s.wake()
	s.removeIfClosed()
}

// reset breaks the stream at once, for both ends. The lock is held.
func (s *stream) reset() {
	s.broken = true
	s.wake()
}

// removeIfClosed lets go of a stream that nobody reads or writes any more. The lock is held.
func (s *stream) removeIfClosed() {
	if s.writeClosed && s.readClosed {
		delete(s.network.streams, s)
	}
}

// handleProcessKilled ends the stream as the death of one of its processes does. The
// lock is held.
func (s *stream) handleProcessKilled(process *Process, mode KillMode) {
	if s.from == process {
		if mode == KillReset {
			s.closeWrite(syscall.ECONNRESET)
		} else {
			s.closeWrite(nil)
		}
		s.wake()
	}
	if s.to == process {
		s.closeRead()
	}
}

// resetAfterRestart answers what was sent to a vanished machine once another process runs
// there, which knows nothing of the connection. The lock is held.
func (s *stream) resetAfterRestart() {
	if s.sentToVanished && !s.resetSent && !s.to.host.vanished {
		s.resetSent = true
		s.reverse.push(nil, syscall.ECONNRESET)
	}
}

// canDeliver reports whether the link lets the segment through. The lock is held.
func (s *stream) canDeliver(next segment) bool {
	if s.blackholed || next.heldUntilThaw && s.from.host.frozen {
		return false
	}
	return !s.network.link(s.from.host.ip, s.to.host.ip).cut
}

// arrivedEnd returns why the stream ended if its end has arrived. The lock is held.
func (s *stream) arrivedEnd(now time.Time) error {
	if len(s.segments) == 0 {
		return nil
	}
	last := s.segments[len(s.segments)-1]
	if last.endErr == nil || last.arrival.After(now) || !s.canDeliver(last) {
		return nil
	}
	return last.endErr
}

// conn implements net.Conn. Its deadlines and closed are guarded by the
// network's mutex.
type conn struct {
	process       *Process
	local, remote net.Addr
	in, out       *stream
	readDeadline  time.Time
	writeDeadline time.Time
	// userTimeout is how long sent data may be held up; zero is for ever.
	userTimeout time.Duration
	closed      bool
}

// Read waits for data, the end of the stream or the read deadline.
func (c *conn) Read(buffer []byte) (int, error) {
	n := c.process.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for {
		if err := c.operationError("read", c.in, c.readDeadline); err != nil {
			return 0, err
		}
		if c.process.host.frozen {
			n.await(c.in.changed, time.Time{})
			continue
		}
		until := c.readDeadline
		if len(c.in.segments) > 0 && c.in.canDeliver(c.in.segments[0]) {
			head := c.in.segments[0]
			if !head.arrival.After(time.Now()) {
				return c.readFirstSegment(buffer)
			}
			until = earlierDeadline(until, head.arrival)
		}
		n.await(c.in.changed, until)
	}
}

// readFirstSegment reads from the first segment, which has arrived. The lock is held.
func (c *conn) readFirstSegment(buffer []byte) (int, error) {
	head := &c.in.segments[0]
	if errors.Is(head.endErr, io.EOF) {
		return 0, io.EOF
	}
	if head.endErr != nil {
		return 0, opError("read", c.remote, head.endErr)
	}
	count := copy(buffer, head.data)
	head.data = head.data[count:]
	c.in.buffered -= count
	if len(head.data) == 0 {
		c.in.segments = c.in.segments[1:]
	}
	c.in.wake()
	return count, nil
}

// Write puts data on its way, waiting while the direction's buffer is full.
func (c *conn) Write(data []byte) (int, error) {
	n := c.process.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	written := 0
	for written < len(data) {
		if err := c.operationError("write", c.out, c.writeDeadline); err != nil {
			return written, err
		}
		if c.in.arrivedEnd(time.Now()) != nil {
			return written, opError("write", c.remote, syscall.EPIPE)
		}
		if c.process.host.frozen || c.out.buffered >= bufferLimit {
			n.await(c.out.changed, c.effectiveDeadline(c.writeDeadline))
			continue
		}
		count := min(len(data)-written, bufferLimit-c.out.buffered)
		if c.out.to.killed {
			c.out.sentToVanished = true
			c.out.resetAfterRestart()
		}
		if !c.out.readClosed {
			c.out.push(append([]byte(nil), data[written:written+count]...), nil)
		}
		written += count
		c.startUserTimeout()
	}
	return written, nil
}

// SetUserTimeout breaks the connection when sent data is held up for so long.
func (c *conn) SetUserTimeout(limit time.Duration) error {
	n := c.process.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	c.userTimeout = limit
	return nil
}

// startUserTimeout looks later whether data that does not get through still does not. The
// lock is held.
func (c *conn) startUserTimeout() {
	if c.userTimeout == 0 || c.out.isDelivering() {
		return
	}
	time.AfterFunc(c.userTimeout, func() {
		n := c.process.network
		n.mutex.Lock()
		defer n.mutex.Unlock()
		if !c.closed && !c.out.isDelivering() {
			c.out.reset()
			c.in.reset()
		}
	})
}

// isDelivering reports whether what is sent gets through. The lock is held.
func (s *stream) isDelivering() bool {
	return !s.blackholed && !s.to.host.vanished && !s.network.link(s.from.host.ip, s.to.host.ip).cut
}

// effectiveDeadline is no limit while the process is frozen: its deadlines pass
// unnoticed until it continues. The lock is held.
func (c *conn) effectiveDeadline(deadline time.Time) time.Time {
	if c.process.host.frozen {
		return time.Time{}
	}
	return deadline
}

// operationError returns why an operation can't go on. The lock is held.
func (c *conn) operationError(operation string, s *stream, deadline time.Time) error {
	switch {
	case c.closed:
		return opError(operation, c.remote, net.ErrClosed)
	case c.process.killed:
		return ErrProcessKilled
	case c.process.host.frozen:
		return nil
	case !deadline.IsZero() && !deadline.After(time.Now()):
		return opError(operation, c.remote, os.ErrDeadlineExceeded)
	case s.broken:
		return opError(operation, c.remote, syscall.ECONNRESET)
	}
	return nil
}

// Close ends both directions.
func (c *conn) Close() error {
	n := c.process.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if c.closed {
		return opError("close", c.remote, net.ErrClosed)
	}
	c.closed = true
	c.out.closeWrite(io.EOF)
	c.out.wake()
	c.in.closeRead()
	return nil
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets both deadlines; zero means none.
func (c *conn) SetDeadline(deadline time.Time) error {
	return c.setDeadlines(func() { c.readDeadline, c.writeDeadline = deadline, deadline })
}

// SetReadDeadline bounds Read; zero means no bound.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	return c.setDeadlines(func() { c.readDeadline = deadline })
}

// SetWriteDeadline bounds Write; zero means no bound.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	return c.setDeadlines(func() { c.writeDeadline = deadline })
}

func (c *conn) setDeadlines(set func()) error {
	n := c.process.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if c.closed {
		return opError("set", c.remote, net.ErrClosed)
	}
	set()
	c.in.wake()
	c.out.wake()
	return nil
}

func earlierDeadline(one, other time.Time) time.Time {
	if one.IsZero() || other.Before(one) {
		return other
	}
	return one
}
