// Package network is an in-memory network between simulated hosts.
//
// Each process that runs on a host gets a Process, which opens listeners and
// connections as the operating system would, and sockets for datagrams. Connections are
// byte streams with deadlines; each link has a delay drawn from the network's seed. Links can be
// cut one way, slowed and reset; hosts can be frozen, thawed and killed.
//
// All waiting is on channels and timers, so the package runs on the virtual
// clock of testing/synctest; a Network must then be made inside the bubble.
package network

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"
)

// Errors of the network's controls.
var (
	// ErrRunning is returned when a host already runs a process.
	ErrRunning = errors.New("network: host already runs a process")
	// ErrProcessKilled is returned to a process whose host was killed.
	ErrProcessKilled = errors.New("network: process was killed")
	// ErrInvalidAddress is returned for an address that is not an IP number and port.
	ErrInvalidAddress = errors.New("network: bad address")
)

// Defaults of Options.
const (
	DefaultMinimumDelay = 200 * time.Microsecond
	DefaultMaximumDelay = 2 * time.Millisecond
)

// Options sets up a Network. The zero value has usable defaults.
type Options struct {
	// Seed determines every link's delay.
	Seed uint64
	// MinimumDelay and MaximumDelay bound the one-way delay of a link.
	MinimumDelay time.Duration
	MaximumDelay time.Duration
}

// Network joins hosts. Its methods may be called from several goroutines.
type Network struct {
	options Options

	// mutex guards all that follows and the state of every process, listener
	// and stream. Invariant: a stream or listener whose state changed has had
	// its waiters woken before the lock is released.
	mutex   sync.Mutex
	hosts   map[string]*host
	links   map[link]*linkState
	streams map[*stream]struct{}
	// connectionCount counts connections and seeds their jitter.
	connectionCount uint64
}

// link is one direction between two hosts.
type link struct{ from, to string }

// linkState is the condition of one direction.
type linkState struct {
	cut        bool
	delay      time.Duration
	extraDelay time.Duration
}

// host is one IP number.
type host struct {
	ip       string
	frozen   bool
	vanished bool
	process  *Process
	nextPort int
	// changed is closed and replaced when the host's condition changes.
	changed chan struct{}
}

// KillMode tells what the peers of a killed host see.
type KillMode int

const (
	// KillReset ends the process; its kernel resets the connections.
	KillReset KillMode = iota
	// KillVanish ends the machine; its peers hear nothing more.
	KillVanish
)

// New makes a network without hosts.
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

// Start runs a new process on the host with the given IP number. A host runs
// one process at a time; ErrRunning otherwise.
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

// Kill ends the host's process: its listeners and connections are gone, and
// whatever its goroutines still try to send goes nowhere.
func (n *Network) Kill(ip string, mode KillMode) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.kill(n.host(ip), mode)
}

// Close kills every process and ends every connection.
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

// kill ends a host's process. The lock is held.
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

// Freeze stops the host's process: it neither sends nor receives until Thaw.
// Its connections stay, and its kernel still accepts new ones. The process's
// own timers go on, and what they do takes effect at Thaw.
func (n *Network) Freeze(ip string) { n.setFrozen(ip, true) }

// Thaw lets a frozen process continue.
func (n *Network) Thaw(ip string) { n.setFrozen(ip, false) }

func (n *Network) setFrozen(ip string, frozen bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	h := n.host(ip)
	h.frozen = frozen
	n.wakeHostWaiters(h)
}

// Cut stops what one host sends to another. What is sent meanwhile arrives
// after Heal, as a transport that sends again would have it.
func (n *Network) Cut(from, to string) { n.setCut(from, to, true) }

// Heal ends a Cut.
func (n *Network) Heal(from, to string) { n.setCut(from, to, false) }

func (n *Network) setCut(from, to string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(from, to).cut = cut
	n.wakeHostWaiters(n.host(from))
	n.wakeHostWaiters(n.host(to))
}

// Slow adds a delay to what one host sends to another; zero ends it.
func (n *Network) Slow(from, to string, extra time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(from, to).extraDelay = extra
}

// ResetConnections breaks every connection between two hosts.
func (n *Network) ResetConnections(one, other string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for s := range n.streams {
		if s.connects(one, other) {
			s.reset()
		}
	}
}

// BlackholeConnections lets nothing more through on the connections between two hosts that are open
// now, in either direction; new ones work.
func (n *Network) BlackholeConnections(one, other string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for s := range n.streams {
		if s.connects(one, other) {
			s.blackholed = true
		}
	}
}

// host returns the state of an IP number. The lock is held.
func (n *Network) host(ip string) *host {
	h, ok := n.hosts[ip]
	if !ok {
		h = &host{ip: ip, nextPort: firstEphemeralPort, changed: make(chan struct{})}
		n.hosts[ip] = h
	}
	return h
}

// link returns the state of one direction, with a delay that depends only on
// the seed and the two hosts. The lock is held.
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

// wakeHostWaiters wakes all that waits on the host's condition. The lock is held.
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

// await releases the lock until changed is closed or the time until has come;
// a zero until means no time limit. The lock is held before and after.
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
		// Writing to a hash never fails.
		_, _ = hash.Write([]byte(text))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}
