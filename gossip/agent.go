package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/membership"
)

// Agent maintains a node's view of the other nodes. Run must be called exactly once.
// All methods are safe for concurrent use.
type Agent struct {
	options  Options
	epoch    clock.Epoch
	counters *counters
	// wake makes tickLoop run immediately. Its buffer holds one signal.
	wake chan struct{}

	mutex sync.Mutex
	// mutex guards the fields below. The clock is read while it is held, so that the
	// times passed to core never decrease.
	self            discovery.Node
	core            *exchanger
	reportedVersion uint64
	// cachedNodes is the result of Nodes at table version cachedNodesVersion.
	cachedNodes        []discovery.Node
	cachedNodesVersion uint64
	// reportedIsolated is the isolation state at the last call of collectChanges.
	reportedIsolated bool
	// contacts is the last list passed to SetContacts.
	contacts []discovery.Node
	// conn is nil until Run opens it.
	conn net.PacketConn
}

// NewAgent returns an agent that knows no other node. It fails if the node's own entry
// is invalid.
func NewAgent(options Options) (*Agent, error) {
	if options.ListenPacket == nil {
		options.ListenPacket = net.ListenPacket
	}
	if options.OnChanged == nil {
		options.OnChanged = func() {}
	}
	self, err := memberFromNode(options.Self, uint64(max(1, time.Now().UnixMilli())))
	if err != nil {
		return nil, err
	}
	a := &Agent{
		options: options,
		epoch:   clock.NewEpoch(),
		self:    options.Self,
		core:    newExchanger(membership.NewNodes(membershipOptions(self, options.Seed)), options.Seed|1<<63),
		wake:    make(chan struct{}, 1),
	}
	a.counters = newCounters(options.Registry, a)
	a.SetContacts(nil)
	return a, nil
}

// now returns the time since the agent's epoch.
func (a *Agent) now() time.Duration { return a.epoch.Elapsed() }

// Nodes returns this node and all other nodes that are not gone, sorted by ID. Callers
// must not modify the returned slice.
func (a *Agent) Nodes() []discovery.Node {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.cachedNodesVersion == a.core.nodes.Version() {
		return a.cachedNodes
	}
	members := a.core.nodes.Members()
	nodes := make([]discovery.Node, 0, len(members))
	for _, member := range members {
		if node, ok := nodeFromMember(member); ok {
			node.Region = a.options.Regions[node.Zone]
			nodes = append(nodes, node)
		}
	}
	a.cachedNodes, a.cachedNodesVersion = nodes, a.core.nodes.Version()
	return nodes
}

// Isolated reports whether the node considers itself isolated from all other nodes.
func (a *Agent) Isolated() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.core.nodes.Isolated(a.now())
}

// Joined reports whether a full table sync with another node has found no new node.
func (a *Agent) Joined() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.core.nodes.Joined()
}

// SetContacts sets the nodes to contact in addition to the seeds, such as those in the
// registry. They may be stale.
func (a *Agent) SetContacts(contacts []discovery.Node) {
	a.mutex.Lock()
	unchanged := a.contacts != nil && slices.Equal(a.contacts, contacts)
	a.mutex.Unlock()
	if unchanged {
		return
	}
	a.applyChange(func() []packet {
		a.contacts = append(make([]discovery.Node, 0, len(contacts)), contacts...)
		var listed []membership.ListedNode
		for _, address := range a.options.Seeds {
			if address != a.self.Gossip {
				listed = append(listed, membership.ListedNode{ID: "seed " + address, Address: address})
			}
		}
		for _, contact := range contacts {
			if contact.Gossip != "" {
				listed = append(listed, membership.ListedNode{ID: contact.ID, Address: contact.Gossip, Zone: contact.Zone})
			}
		}
		a.core.nodes.ObserveList(listed)
		return nil
	})
}

// SetBusy publishes whether other nodes should take over work from this one.
func (a *Agent) SetBusy(busy bool) { a.setDetails(func(self *discovery.Node) { self.Busy = busy }) }

// SetUnable publishes whether the node cannot reach enough servers to serve callers.
func (a *Agent) SetUnable(unable bool) {
	a.setDetails(func(self *discovery.Node) { self.Unable = unable })
}

func (a *Agent) setDetails(set func(self *discovery.Node)) {
	a.applyChange(func() []packet {
		set(&a.self)
		details, err := encodeDetails(a.self)
		if err != nil {
			a.options.Logger.Error().Err(err).Msg("failed to encode own node details, keeping the previous ones")
			return nil
		}
		a.core.nodes.SetDetails(details)
		return nil
	})
}

// Leave announces that the node accepts no more callers.
func (a *Agent) Leave() {
	a.applyChange(func() []packet { return a.core.startRequests(a.now(), a.core.nodes.Leave()) })
}

// applyChange runs apply with the lock held, sends the packets it returns, wakes
// tickLoop and calls Options.OnChanged if the view of the nodes has changed.
func (a *Agent) applyChange(apply func() []packet) {
	a.mutex.Lock()
	packets := apply()
	changed := a.collectChanges()
	conn := a.conn
	a.mutex.Unlock()
	a.send(conn, packets)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	if changed {
		a.options.OnChanged()
	}
}

// collectChanges logs and counts the table's changes and reports whether the view of the
// nodes has changed since the last call. The caller holds the lock.
func (a *Agent) collectChanges() bool {
	for _, member := range a.core.nodes.TakeChanges() {
		a.counters.changes.WithLabelValues(member.State.String()).Inc()
		a.options.Logger.Debug().Str("member", member.ID).Stringer("state", member.State).
			Uint64("incarnation", member.Incarnation).Msg("member changed")
	}
	isolated := a.core.nodes.Isolated(a.now())
	if isolated != a.reportedIsolated {
		a.options.Logger.Warn().Bool("isolated", isolated).Msg("no other node answers")
	}
	changed := a.reportedVersion != a.core.nodes.Version() || isolated != a.reportedIsolated
	a.reportedVersion, a.reportedIsolated = a.core.nodes.Version(), isolated
	return changed
}

// Run probes the other nodes until ctx is done, then announces to some of them that
// this node is gone. It fails if the socket cannot be opened.
func (a *Agent) Run(ctx context.Context) error {
	conn, err := a.options.ListenPacket("udp", a.options.Self.Gossip)
	if err != nil {
		return fmt.Errorf("gossip: listening on %s: %w", a.options.Self.Gossip, err)
	}
	a.mutex.Lock()
	a.conn = conn
	a.mutex.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { a.receiveLoop(conn) })
	a.tickLoop(ctx, conn)
	a.applyChange(func() []packet { return a.core.startRequests(a.now(), a.core.nodes.Depart()) })
	_ = conn.Close()
	loops.Wait()
	return nil
}

// tickLoop runs the timers of the state machine until ctx is done.
func (a *Agent) tickLoop(ctx context.Context, conn net.PacketConn) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-a.wake:
		}
		a.mutex.Lock()
		packets := a.core.tick(a.now())
		changed := a.collectChanges()
		next := a.core.nextTick() - a.now()
		a.mutex.Unlock()
		a.send(conn, packets)
		if changed {
			a.options.OnChanged()
		}
		timer.Reset(max(next, 0))
	}
}

// maxDatagramBytes is the largest datagram that is accepted. It exceeds syncBytes
// because a single bucket of entries may.
const maxDatagramBytes = 16 << 10

// receiveLoop reads datagrams until the socket is closed.
func (a *Agent) receiveLoop(conn net.PacketConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		length, from, err := conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The error concerns a single datagram, such as an unreachable port, so
			// keep reading.
			a.counters.failures.WithLabelValues("receive").Inc()
			continue
		}
		a.counters.received.Add(float64(length))
		var datagram Datagram
		if err := proto.Unmarshal(buffer[:length], &datagram); err != nil {
			a.counters.failures.WithLabelValues("decode").Inc()
			continue
		}
		if findings := datagram.GetFindings(); findings != nil {
			a.receiveFindings(findings)
			continue
		}
		a.receive(conn, from.String(), &datagram)
	}
}

// receive processes one datagram and wakes tickLoop if the next tick moved forward.
func (a *Agent) receive(conn net.PacketConn, from string, datagram *Datagram) {
	a.mutex.Lock()
	before := a.core.nextTick()
	packets := a.core.receive(a.now(), from, datagram)
	changed := a.collectChanges()
	sooner := a.core.nextTick() < before
	a.mutex.Unlock()
	a.send(conn, packets)
	if sooner {
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
	if changed {
		a.options.OnChanged()
	}
}

// send writes datagrams to the socket. Failures are counted but not reported, as a
// lost datagram is handled like one without a reply.
func (a *Agent) send(conn net.PacketConn, packets []packet) {
	if conn == nil {
		return
	}
	for _, outgoing := range packets {
		encoded, err := proto.Marshal(outgoing.datagram)
		if err != nil {
			a.counters.failures.WithLabelValues("encode").Inc()
			continue
		}
		to, err := netip.ParseAddrPort(outgoing.to)
		if err != nil {
			a.counters.failures.WithLabelValues("address").Inc()
			continue
		}
		if _, err := conn.WriteTo(encoded, net.UDPAddrFromAddrPort(to)); err != nil {
			a.counters.failures.WithLabelValues("send").Inc()
			continue
		}
		a.counters.sent.Add(float64(len(encoded)))
	}
}
