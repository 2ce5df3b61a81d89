package network

import (
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"
)

// datagramBacklog bounds the datagrams queued at a socket; further ones are
// dropped.
const datagramBacklog = 1024

// socket is a datagram socket; it implements net.PacketConn. Its fields are
// guarded by the network's mutex. Invariant: pending is ordered by arrival time.
type socket struct {
	process *Process
	address *net.UDPAddr
	pending []datagram
	closed  bool
	changed chan struct{}
}

// datagram is a datagram in transit or queued at a socket.
type datagram struct {
	arrival time.Time
	from    net.Addr
	data    []byte
}

// ListenPacket opens a datagram socket on a port of the host.
func (p *Process) ListenPacket(network, address string) (net.PacketConn, error) {
	if network != "udp" && network != "udp4" {
		return nil, fmt.Errorf("%w: network %q", ErrInvalidAddress, network)
	}
	ip, port, err := splitAddress(address, p.host.ip)
	if err != nil {
		return nil, err
	}
	local := &net.UDPAddr{IP: net.ParseIP(ip), Port: port}
	if ip != p.host.ip {
		return nil, opError("listen", local, syscall.EADDRNOTAVAIL)
	}
	n := p.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if p.killed {
		return nil, ErrProcessKilled
	}
	if _, taken := p.sockets[port]; taken {
		return nil, opError("listen", local, syscall.EADDRINUSE)
	}
	s := &socket{process: p, address: local, changed: make(chan struct{})}
	p.sockets[port] = s
	return s, nil
}

// ReadFrom waits for the next datagram. It blocks while the process is frozen.
func (s *socket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	n := s.process.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for {
		var until time.Time
		switch {
		case s.closed:
			return 0, nil, opError("read", s.address, net.ErrClosed)
		case s.process.host.frozen || len(s.pending) == 0:
		case !s.pending[0].arrival.After(time.Now()):
			next := s.pending[0]
			s.pending = slices.Delete(s.pending, 0, 1)
			return copy(buffer, next.data), next.from, nil
		default:
			until = s.pending[0].arrival
		}
		n.await(s.changed, until)
	}
}

// WriteTo sends a datagram. The datagram is lost without an error if the sender is
// frozen, the link is cut or no socket is open at the address.
func (s *socket) WriteTo(data []byte, address net.Addr) (int, error) {
	to, ok := address.(*net.UDPAddr)
	if !ok {
		return 0, fmt.Errorf("%w: %v", ErrInvalidAddress, address)
	}
	n := s.process.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if s.closed {
		return 0, opError("write", s.address, net.ErrClosed)
	}
	target := n.host(to.IP.String())
	state := n.link(s.process.host.ip, target.ip)
	if s.process.host.frozen || state.cut || target.process == nil {
		return len(data), nil
	}
	if receiver := target.process.sockets[to.Port]; receiver != nil {
		receiver.enqueue(datagram{arrival: time.Now().Add(state.delay + state.extraDelay), from: s.address, data: slices.Clone(data)})
	}
	return len(data), nil
}

// enqueue adds a datagram in transit in order of arrival, or drops it if the queue
// is full. The caller holds the lock.
func (s *socket) enqueue(next datagram) {
	if len(s.pending) >= datagramBacklog {
		return
	}
	index, _ := slices.BinarySearchFunc(s.pending, next, func(a, b datagram) int {
		if a.arrival.After(b.arrival) {
			return 1
		}
		return -1 // datagrams with equal arrival times stay in sending order
	})
	s.pending = slices.Insert(s.pending, index, next)
	s.wake()
}

// Close closes the socket and discards its queued datagrams.
func (s *socket) Close() error {
	n := s.process.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if s.closed {
		return opError("close", s.address, net.ErrClosed)
	}
	s.closeLocked()
	delete(s.process.sockets, s.address.Port)
	return nil
}

// closeLocked closes the socket. The caller holds the lock.
func (s *socket) closeLocked() {
	s.closed = true
	s.pending = nil
	s.wake()
}

// wake wakes blocked calls of ReadFrom. The caller holds the lock.
func (s *socket) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// LocalAddr returns the address on which the socket was opened.
func (s *socket) LocalAddr() net.Addr { return s.address }

// SetDeadline returns ENOTSUP: no user of the sockets needs deadlines.
func (s *socket) SetDeadline(time.Time) error { return syscall.ENOTSUP }

// SetReadDeadline returns ENOTSUP, like SetDeadline.
func (s *socket) SetReadDeadline(time.Time) error { return syscall.ENOTSUP }

// SetWriteDeadline returns ENOTSUP: WriteTo never blocks.
func (s *socket) SetWriteDeadline(time.Time) error { return syscall.ENOTSUP }
