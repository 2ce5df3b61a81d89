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

// bufferLimit bounds the bytes in transit in one direction of a connection; Write
// blocks when it is reached.
const bufferLimit = 256 << 10

// jitterShare determines the jitter: each segment is delayed further by a random
// time of up to 1/jitterShare of the link's delay.
const jitterShare = 4

// stream is one direction of a connection. Its fields are guarded by the
// network's mutex. Invariant: segments are ordered by arrival time.
type stream struct {
	network  *Network
	from, to *Process
	segments []segment
	buffered int
	// writeClosed is set once the sender has closed the connection or was killed:
	// no further bytes follow.
	writeClosed bool
	// readClosed is set once the receiver has closed the connection or was killed:
	// incoming bytes are dropped.
	readClosed bool
	broken     bool
	// blackholed is set if the stream no longer delivers segments.
	blackholed bool
	// reverse is the other direction of the connection.
	reverse *stream
	// sentToVanished is set once data was sent to a process that was killed.
	// resetSent is set once the process that runs on the receiver's host afterwards
	// has answered that data with a reset.
	sentToVanished bool
	resetSent      bool
	lastArrival    time.Time
	jitter         *rand.Rand
	changed        chan struct{}
}

// segment is data in transit, or the end of the stream if endErr is set: io.EOF or
// ECONNRESET.
type segment struct {
	arrival time.Time
	data    []byte
	endErr  error
	// heldUntilThaw is set if the sender's host was frozen when the segment was
	// sent: the segment is not delivered until the thaw.
	heldUntilThaw bool
}

// newConnection creates the two ends of a connection. The caller holds the lock.
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

// push appends a segment with data, or with the end of the stream, that arrives
// after the link's delay plus jitter. The caller holds the lock.
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

// closeWrite sends the end of the stream, unless it was closed for writing before.
// A nil reason means that the machine has vanished, so that the receiver gets no
// notification. The caller holds the lock.
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

// closeRead discards the data in transit and all data sent from now on. The caller
// holds the lock.
func (s *stream) closeRead() {
	s.readClosed = true
	s.segments = nil
	s.buffered = 0
	s.wake()
	s.removeIfClosed()
}

// reset breaks the stream immediately for both ends. The caller holds the lock.
func (s *stream) reset() {
	s.broken = true
	s.wake()
}

// removeIfClosed removes the stream from the network once it is closed for both
// reading and writing. The caller holds the lock.
func (s *stream) removeIfClosed() {
	if s.writeClosed && s.readClosed {
		delete(s.network.streams, s)
	}
}

// handleProcessKilled closes the stream on the side of the killed process. The
// caller holds the lock.
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

// resetAfterRestart answers data that was sent to a killed process with a reset,
// unless its machine has vanished. After a vanished machine is back, the process
// that runs there does not know the connection. The caller holds the lock.
func (s *stream) resetAfterRestart() {
	if s.sentToVanished && !s.resetSent && !s.to.host.vanished {
		s.resetSent = true
		s.reverse.push(nil, syscall.ECONNRESET)
	}
}

// canDeliver reports whether the segment can reach the receiver at present. The
// caller holds the lock.
func (s *stream) canDeliver(next segment) bool {
	if s.blackholed || next.heldUntilThaw && s.from.host.frozen {
		return false
	}
	return !s.network.link(s.from.host.ip, s.to.host.ip).cut
}

// arrivedEnd returns the error that ended the stream if the end has arrived, and
// nil otherwise. The caller holds the lock.
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

// conn implements net.Conn. Its deadlines, userTimeout and closed are guarded by
// the network's mutex.
type conn struct {
	process       *Process
	local, remote net.Addr
	in, out       *stream
	readDeadline  time.Time
	writeDeadline time.Time
	// userTimeout is the maximum time for which sent data may stay undelivered;
	// zero means no limit.
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

// readFirstSegment reads from the first segment, which must have arrived. The
// caller holds the lock.
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

// Write sends data. It blocks while the process is frozen or the stream's buffer
// is full.
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

// SetUserTimeout sets the time after which the connection is reset if sent data
// cannot be delivered, like TCP_USER_TIMEOUT; zero means no limit.
func (c *conn) SetUserTimeout(limit time.Duration) error {
	n := c.process.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	c.userTimeout = limit
	return nil
}

// startUserTimeout starts the user time-out if data cannot be delivered at present.
// The connection is reset if data cannot be delivered when the time-out expires
// either. The caller holds the lock.
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

// isDelivering reports whether sent data reaches the receiver's host at present.
// The caller holds the lock.
func (s *stream) isDelivering() bool {
	return !s.blackholed && !s.to.host.vanished && !s.network.link(s.from.host.ip, s.to.host.ip).cut
}

// effectiveDeadline returns the deadline, or zero while the process is frozen,
// since a frozen process does not notice expired deadlines until it is thawed. The
// caller holds the lock.
func (c *conn) effectiveDeadline(deadline time.Time) time.Time {
	if c.process.host.frozen {
		return time.Time{}
	}
	return deadline
}

// operationError returns the error that prevents an operation, or nil if it may
// proceed. While the process is frozen, deadlines and resets go unnoticed. The
// caller holds the lock.
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

// Close closes both directions; the peer reads io.EOF after the data in transit.
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

// LocalAddr returns the address of the local end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the remote end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the read and write deadlines; zero means none.
func (c *conn) SetDeadline(deadline time.Time) error {
	return c.setDeadlines(func() { c.readDeadline, c.writeDeadline = deadline, deadline })
}

// SetReadDeadline sets the deadline of Read; zero means none.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	return c.setDeadlines(func() { c.readDeadline = deadline })
}

// SetWriteDeadline sets the deadline of Write; zero means none.
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

// earlierDeadline returns the earlier of two times; a zero first argument means no
// deadline.
func earlierDeadline(one, other time.Time) time.Time {
	if one.IsZero() || other.Before(one) {
		return other
	}
	return one
}
