package network

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/banksail/banksail/internal/clock"
)

const (
	firstEphemeralPort = 49152
	// backlog bounds the connections that wait for Accept; further ones are refused.
	backlog = 1024
)

// Process is one run of a program on a host. It implements node.Network.
type Process struct {
	network *Network
	host    *host
	// killed, listeners and sockets are guarded by the network's mutex.
	killed    bool
	listeners map[int]*listener
	sockets   map[int]*socket
	done      chan struct{}
}

// Done returns a channel that is closed when the process is killed.
func (p *Process) Done() <-chan struct{} { return p.done }

// Listen listens for connections on a port of the host; port 0 selects an
// ephemeral port.
func (p *Process) Listen(address string) (net.Listener, error) {
	ip, port, err := splitAddress(address, p.host.ip)
	if err != nil {
		return nil, err
	}
	if ip != p.host.ip {
		return nil, opError("listen", nil, syscall.EADDRNOTAVAIL)
	}
	n := p.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if p.killed {
		return nil, ErrProcessKilled
	}
	if port == 0 {
		port = p.host.ephemeralPort()
	}
	if _, taken := p.listeners[port]; taken {
		return nil, opError("listen", tcpAddress(ip, port), syscall.EADDRINUSE)
	}
	l := &listener{process: p, address: tcpAddress(ip, port), changed: make(chan struct{})}
	p.listeners[port] = l
	return l, nil
}

// DialContext connects to an IP address and port. While the link is cut in either
// direction, the remote machine has vanished or the calling process is frozen, it
// blocks until the context is done.
func (p *Process) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if network != "tcp" && network != "tcp4" {
		return nil, fmt.Errorf("%w: network %q", ErrInvalidAddress, network)
	}
	ip, port, err := splitAddress(address, "")
	if err != nil {
		return nil, err
	}
	for {
		delay, changed, err := p.route(ip)
		if err != nil {
			return nil, err
		}
		if delay == 0 {
			err = waitForChange(ctx, changed)
		} else {
			err = clock.Sleep(ctx, delay)
		}
		if err != nil {
			return nil, opError("dial", tcpAddress(ip, port), err)
		}
		if delay == 0 {
			continue
		}
		connection, err := p.connect(ip, port)
		if err != nil || connection != nil {
			return connection, err
		}
	}
}

// route returns the time that it takes to open a connection to the host. If that is
// impossible at present, it returns zero and a channel that is closed when the
// state has changed.
func (p *Process) route(ip string) (time.Duration, <-chan struct{}, error) {
	n := p.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if p.killed {
		return 0, nil, ErrProcessKilled
	}
	target := n.host(ip)
	outbound, inbound := n.link(p.host.ip, ip), n.link(ip, p.host.ip)
	switch {
	case p.host.frozen:
		return 0, p.host.changed, nil
	case target.vanished || outbound.cut || inbound.cut:
		return 0, target.changed, nil
	}
	return outbound.delay + outbound.extraDelay + inbound.delay + inbound.extraDelay, nil, nil
}

// connect connects the process to a listener. It returns nil without an error if
// the link was cut or the remote machine vanished since route was called.
func (p *Process) connect(ip string, port int) (net.Conn, error) {
	n := p.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if p.killed {
		return nil, ErrProcessKilled
	}
	target := n.host(ip)
	if target.vanished || n.link(p.host.ip, ip).cut || n.link(ip, p.host.ip).cut {
		return nil, nil
	}
	remote := tcpAddress(ip, port)
	if target.process == nil {
		return nil, opError("dial", remote, syscall.ECONNREFUSED)
	}
	l, ok := target.process.listeners[port]
	if !ok || len(l.pending) >= backlog {
		return nil, opError("dial", remote, syscall.ECONNREFUSED)
	}
	local := tcpAddress(p.host.ip, p.host.ephemeralPort())
	near, far := n.newConnection(p, target.process, local, remote)
	l.pending = append(l.pending, far)
	l.wake()
	return near, nil
}

// ephemeralPort returns the next ephemeral port. The caller holds the lock.
func (h *host) ephemeralPort() int {
	port := h.nextPort
	h.nextPort++
	if h.nextPort > 65535 {
		h.nextPort = firstEphemeralPort
	}
	return port
}

// listener implements net.Listener. Its fields are guarded by the network's mutex.
type listener struct {
	process *Process
	address *net.TCPAddr
	pending []*conn
	closed  bool
	changed chan struct{}
}

// Accept waits for the next connection. It blocks while the process is frozen.
func (l *listener) Accept() (net.Conn, error) {
	n := l.process.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for {
		switch {
		case l.closed:
			return nil, opError("accept", l.address, net.ErrClosed)
		case len(l.pending) > 0 && !l.process.host.frozen:
			next := l.pending[0]
			l.pending = l.pending[1:]
			return next, nil
		}
		n.await(l.changed, time.Time{})
	}
}

// Close closes the listener and resets the connections that wait for Accept.
func (l *listener) Close() error {
	n := l.process.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if l.closed {
		return opError("close", l.address, net.ErrClosed)
	}
	l.closeLocked()
	delete(l.process.listeners, l.address.Port)
	return nil
}

// Addr returns the address on which the listener accepts connections.
func (l *listener) Addr() net.Addr { return l.address }

// closeLocked closes the listener. The caller holds the lock.
func (l *listener) closeLocked() {
	l.closed = true
	for _, c := range l.pending {
		c.in.reset()
		c.out.reset()
	}
	l.pending = nil
	l.wake()
}

// wake wakes blocked calls of Accept. The caller holds the lock.
func (l *listener) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func splitAddress(address, defaultIP string) (ip string, port int, err error) {
	ipText, portText, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, fmt.Errorf("%w: %w", ErrInvalidAddress, err)
	}
	port, err = strconv.Atoi(portText)
	if err != nil || port < 0 || port > 65535 {
		return "", 0, fmt.Errorf("%w: port %q", ErrInvalidAddress, portText)
	}
	if ipText == "" && defaultIP != "" {
		return defaultIP, port, nil
	}
	if _, err := netip.ParseAddr(ipText); err != nil {
		return "", 0, fmt.Errorf("%w: %w", ErrInvalidAddress, err)
	}
	return ipText, port, nil
}

func tcpAddress(ip string, port int) *net.TCPAddr {
	return &net.TCPAddr{IP: net.ParseIP(ip), Port: port}
}

// opError wraps an error in a net.OpError as the net package does.
func opError(operation string, address net.Addr, err error) error {
	var errno syscall.Errno
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		err = os.ErrDeadlineExceeded
	case errors.As(err, &errno):
		err = os.NewSyscallError(operation, err)
	}
	return &net.OpError{Op: operation, Net: "tcp", Addr: address, Err: err}
}

func waitForChange(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
