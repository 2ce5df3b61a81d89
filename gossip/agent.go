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

// Agent keeps a node's view of the other nodes. Run must be called once; all methods
// may be called from several goroutines.
type Agent struct {
	options  Options
	epoch    clock.Epoch
	counters *counters
	// wake makes the loop look at the table at once; it holds one token.
	wake chan struct{}

	mutex sync.Mutex
	// mutex guards the fields below. Invariant: core sees times that never decrease,
	// as the clock is read under the lock.
	self            discovery.Node
	core            *exchanger
	reportedVersion uint64
	// cachedNodes are the nodes as of a version of the table.
	cachedNodes        []discovery.Node
	cachedNodesVersion uint64
	// reportedIsolated is what was told of last.
	reportedIsolated bool
	// contacts are those that were named last.
	contacts []discovery.Node
	// conn is nil until Run.
	conn net.PacketConn
}

// NewAgent returns an agent that knows no other node. Its error says what of the
// node's own entry is out of its bounds.
func NewAgent(options Options) (*Agent, error) {
	if options.ListenPacket == nil {
		options.ListenPacket = net.ListenPacket
	}
	if options.Changed == nil {
		options.Changed = func() {}
	}
	self, err := memberFromNode(options.Self, uint64(max(1, time.Now().UnixMilli())))
	if err != nil {
		return nil, err
	}
	a := &Agent{
		options: options,
		epoch:   clock.Begin(),
		self:    options.Self,
		core:    newExchanger(membership.NewNodes(membershipOptions(self, options.Seed)), options.Seed|1<<63),
		wake:    make(chan struct{}, 1),
	}
	a.counters = newCounters(options.Registry, a)
	a.SetContacts(nil)
	return a, nil
}

// now is the time since the agent's epoch.
func (a *Agent) now() time.Duration { return a.epoch.Elapsed() }

// Nodes lists the node itself and all others that are not gone, by ID. The list must
// not be changed.
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

// Isolated reports whether the node takes itself for cut off from the others.
func (a *Agent) Isolated() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.core.nodes.Isolated(a.now())
}

// Joined reports whether a whole comparison with another node has brought no new node.
func (a *Agent) Joined() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.core.nodes.Joined()
}

// SetContacts names nodes that may be there beside the seeds, as the registry does.
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

// SetBusy tells the others whether they should help the node.
func (a *Agent) SetBusy(busy bool) { a.setDetails(func(self *discovery.Node) { self.Busy = busy }) }

// SetUnable tells the others whether the node can't reach enough servers to serve callers.
func (a *Agent) SetUnable(unable bool) {
	a.setDetails(func(self *discovery.Node) { self.Unable = unable })
}

func (a *Agent) setDetails(set func(self *discovery.Node)) {
	a.applyChange(func() []packet {
		set(&a.self)
		details, err := encodeDetails(a.self)
		if err != nil {
			a.options.Logger.Error().Err(err).Msg("own entry stays as it is")
			return nil
		}
		a.core.nodes.SetDetails(details)
		return nil
	})
}

// Leave tells the others that the node takes no more callers.
func (a *Agent) Leave() {
	a.applyChange(func() []packet { return a.core.startRequests(a.now(), a.core.nodes.Leave()) })
}

// applyChange runs a change of the table, sends what follows from it and tells of it.
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
		a.options.Changed()
	}
}

// collectChanges reports whether what is known of the nodes has changed since the last call.
// The lock is held.
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

// Run watches the other nodes until ctx ends; then it tells some of them that the
// node is gone.
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

// tickLoop drives the table's timers.
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
			a.options.Changed()
		}
		timer.Reset(max(next, 0))
	}
}

// maxDatagramBytes is the longest datagram that is taken, in bytes: a bucket of entries
// may be longer than syncBytes.
const maxDatagramBytes = 16 << 10

// receiveLoop takes datagrams until the socket is closed.
func (a *Agent) receiveLoop(conn net.PacketConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		length, from, err := conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An error of one datagram, as that a port was not reached: the next one counts.
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

// receive takes one datagram in.
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
		a.options.Changed()
	}
}

// send sends datagrams; one that is lost is like one that is never answered.
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
