// Package network simulates a network between hosts in memory.
//
// A Process is one run of a program on a host; it opens listeners, connections
// and datagram sockets as an operating system would. Connections are byte streams
// with deadlines. The delay of each link is derived from the network's seed.
// Links can be cut in one direction or slowed down, connections reset or
// blackholed, and hosts frozen, thawed and killed.
//
// All waiting is on channels and timers, so the package runs on the virtual clock
// of testing/synctest; a Network must then be created inside the bubble.
package network

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"
)

// Errors returned by the network and its processes.
var (
	// ErrRunning is returned by Start if the host already runs a process.
	ErrRunning = errors.New("network: host already runs a process")
	// ErrProcessKilled is returned by operations of a process that was killed.
	ErrProcessKilled = errors.New("network: process was killed")
	// ErrInvalidAddress is returned for an address that is not an IP address and
	// port, and for an unsupported network name.
	ErrInvalidAddress = errors.New("network: invalid address")
)

// Default values of Options.
const (
	DefaultMinimumDelay = 200 * time.Microsecond
	DefaultMaximumDelay = 2 * time.Millisecond
)

// Options configures a Network. Zero fields get default values.
type Options struct {
	// Seed determines the delays of links and the jitter of connections.
	Seed uint64
	// MinimumDelay and MaximumDelay bound the one-way delay of a link, jitter
	// excluded.
	MinimumDelay time.Duration
	MaximumDelay time.Duration
}

// Network connects simulated hosts. It is safe for concurrent use.
type Network struct {
	options Options

	// mutex guards the fields below and the state of all processes, listeners,
	// sockets and streams. Invariant: waiters on a listener, socket or stream are
	// woken before the lock is released if its state has changed.
	mutex   sync.Mutex
	hosts   map[string]*host
	links   map[link]*linkState
	streams map[*stream]struct{}
	// connectionCount is the number of connections opened so far; it is part of the
	// seed of a connection's jitter.
	connectionCount uint64
}

// link identifies one direction between two hosts, given by their IP addresses.
type link struct{ from, to string }

// linkState is the state of one direction of a link.
type linkState struct {
	cut        bool
	delay      time.Duration
	extraDelay time.Duration
}

// host is the state of one IP address.
type host struct {
	ip       string
	frozen   bool
	vanished bool
	process  *Process
	nextPort int
	// changed is closed and replaced when the host's state or that of one of its
	// links changes.
	changed chan struct{}
}

// KillMode determines what the peers of a killed host observe.
type KillMode int

const (
	// KillReset ends the process only; its kernel resets the connections.
	KillReset KillMode = iota
	// KillVanish ends the whole machine; its peers receive nothing more from it.
	KillVanish
)

// New returns a network without hosts.
func New(options Options) *Network {
	if options.MinimumDelay <= 0 {
		options.MinimumDelay = DefaultMinimumDelay
	}
	if options.MaximumDelay < options.MinimumDelay {
		options.MaximumDelay = max(DefaultMaximumDelay, options.MinimumDelay)
	}
	return &Network{
		options: options,
		hosts:   make(map[string]*host),
		links:   make(map[link]*linkState),
		streams: make(map[*stream]struct{}),
	}
}

// Start starts a new process on the host with the given IP address. It returns
// ErrRunning if the host already runs a process. If the machine had vanished, the
// new process resets the old connections on which peers have sent data.
func (n *Network) Start(ip string) (*Process, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	h := n.host(ip)
	if h.process != nil {
		return nil, fmt.Errorf("%w: %s", ErrRunning, ip)
	}
	h.frozen = false
	h.vanished = false
	h.process = &Process{network: n, host: h, listeners: make(map[int]*listener), sockets: make(map[int]*socket), done: make(chan struct{})}
	for s := range n.streams {
		if s.to.host == h {
			s.resetAfterRestart()
		}
	}
	n.wakeHostWaiters(h)
	return h.process, nil
}

// Kill ends the host's process: its listeners, sockets and connections are
// closed, and anything its goroutines still try to send is discarded.
func (n *Network) Kill(ip string, mode KillMode) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.kill(n.host(ip), mode)
}

// Close kills all processes and resets all connections.
func (n *Network) Close() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, h := range n.hosts {
		n.kill(h, KillReset)
	}
	for s := range n.streams {
		s.reset()
	}
}

// kill ends a host's process. The caller holds the lock.
func (n *Network) kill(h *host, mode KillMode) {
	process := h.process
	if process == nil {
		return
	}
	h.process = nil
	h.frozen = false
	h.vanished = mode == KillVanish
	process.killed = true
	close(process.done)
	for _, l := range process.listeners {
		l.closeLocked()
	}
	for _, s := range process.sockets {
		s.closeLocked()
	}
	for s := range n.streams {
		s.handleProcessKilled(process, mode)
	}
	n.wakeHostWaiters(h)
}

// Freeze suspends the host's process: it neither sends nor receives until Thaw.
// Its connections stay open, and its kernel still accepts new ones. The process's
// own timers keep running, and their effects become visible after Thaw.
func (n *Network) Freeze(ip string) { n.setFrozen(ip, true) }

// Thaw resumes a frozen process.
func (n *Network) Thaw(ip string) { n.setFrozen(ip, false) }

func (n *Network) setFrozen(ip string, frozen bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	h := n.host(ip)
	h.frozen = frozen
	n.wakeHostWaiters(h)
}

// Cut interrupts traffic from one host to another. Data sent meanwhile on
// connections arrives after Heal, as with a transport that retransmits; datagrams
// are lost.
func (n *Network) Cut(from, to string) { n.setCut(from, to, true) }

// Heal reverts Cut.
func (n *Network) Heal(from, to string) { n.setCut(from, to, false) }

func (n *Network) setCut(from, to string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(from, to).cut = cut
	n.wakeHostWaiters(n.host(from))
	n.wakeHostWaiters(n.host(to))
}

// Slow adds an extra delay to traffic from one host to another; zero removes it.
func (n *Network) Slow(from, to string, extra time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(from, to).extraDelay = extra
}

// ResetConnections resets all connections between two hosts.
func (n *Network) ResetConnections(one, other string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for s := range n.streams {
		if s.connects(one, other) {
			s.reset()
		}
	}
}

// BlackholeConnections drops, in both directions, all further data on the
// connections currently open between two hosts. New connections are unaffected.
func (n *Network) BlackholeConnections(one, other string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for s := range n.streams {
		if s.connects(one, other) {
			s.blackholed = true
		}
	}
}

// host returns the state of an IP address, which it creates if necessary. The
// caller holds the lock.
func (n *Network) host(ip string) *host {
	h, ok := n.hosts[ip]
	if !ok {
		h = &host{ip: ip, nextPort: firstEphemeralPort, changed: make(chan struct{})}
		n.hosts[ip] = h
	}
	return h
}

// link returns the state of one direction of a link, which it creates if
// necessary. The delay depends only on the seed and the two hosts. The caller holds
// the lock.
func (n *Network) link(from, to string) *linkState {
	key := link{from, to}
	state, ok := n.links[key]
	if !ok {
		random := rand.New(rand.NewPCG(n.options.Seed, hashOf(from, to)))
		spread := int64(n.options.MaximumDelay-n.options.MinimumDelay) + 1
		state = &linkState{delay: n.options.MinimumDelay + time.Duration(random.Int64N(spread))}
		n.links[key] = state
	}
	return state
}

// wakeHostWaiters wakes all waiters that depend on the host's state: those on its
// streams, listeners and sockets, and pending dials. The caller holds the lock.
func (n *Network) wakeHostWaiters(h *host) {
	close(h.changed)
	h.changed = make(chan struct{})
	for s := range n.streams {
		if s.from.host == h || s.to.host == h {
			s.wake()
		}
	}
	if h.process == nil {
		return
	}
	for _, l := range h.process.listeners {
		l.wake()
	}
	for _, s := range h.process.sockets {
		s.wake()
	}
}

// await releases the lock until changed is closed or the time until is reached; a
// zero until means no time limit. The caller holds the lock, and holds it again
// when await returns.
func (n *Network) await(changed <-chan struct{}, until time.Time) {
	n.mutex.Unlock()
	defer n.mutex.Lock()
	if until.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func hashOf(texts ...string) uint64 {
	hash := fnv.New64a()
	for _, text := range texts {
		// Writing to a hash.Hash never returns an error.
		_, _ = hash.Write([]byte(text))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}
