package gossip

import (
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/quarantine"
)

// Options configures an Agent. Zero fields get defaults.
type Options struct {
	// Self is this node, including its gossip address. Its ID must be stable across
	// restarts.
	Self discovery.Node
	// Regions maps each zone to its region.
	Regions map[string]string
	// Seeds are gossip addresses of other nodes, which may be stale or down.
	Seeds []string
	// Seed makes random choices reproducible.
	Seed   uint64
	Logger zerolog.Logger
	// Registry is where metrics are registered; nil disables registration.
	Registry prometheus.Registerer
	// ListenPacket opens the socket. The default is net.ListenPacket.
	ListenPacket func(network, address string) (net.PacketConn, error)
	// OnFinding is called with findings of other nodes on requests that crash servers.
	// It is called from a single goroutine and must not block. It may be nil.
	OnFinding func(quarantine.Finding)
	// OnChanged is called when the view of the nodes may have changed. It may be called
	// from several goroutines at once and must not block.
	OnChanged func()
}

// Timing of the failure detector. A crashed node should be avoided by the others about a
// second after the crash: it is probed by some node every probeInterval on average,
// becomes suspect probeTimeout plus relayTimeout later, and the suspicion takes a few
// times announcementDelay to spread.
const (
	probeInterval = 300 * time.Millisecond
	// probeTimeout is over three times the longest round trip between regions at the
	// users' sites (24 to 40 ms), which leaves room for a small, busy processor. A false
	// suspicion costs little, as the next probe refutes it.
	probeTimeout = 150 * time.Millisecond
	// relayTimeout is how long a node waits for the reply to a probe that it relays.
	relayTimeout = 150 * time.Millisecond
	// suspicionTime is how long a suspect has to refute. Six probe intervals of the node
	// that suspects it also cover the pauses of a shared processor.
	suspicionTime = 6 * probeInterval
	// announcementDelay batches the failures of many nodes into few datagrams.
	// announcementFanout reaches 98 of 100 nodes; piggybacked updates reach the rest.
	announcementDelay  = 40 * time.Millisecond
	announcementFanout = 4
	// transmissionFactor makes each node forward an update six times at 100 to 998
	// nodes, which reaches 997 of 1,000; table syncs reach the rest. Twelve times would
	// increase the detector's traffic by half on a day with many restarts.
	transmissionFactor = 2
	// isolationTime is the time of five consecutive failed probes.
	isolationTime = 5 * probeInterval
	// reconnectInterval is the time between two probes of gone nodes.
	reconnectInterval = time.Second
	// tombstoneTime is how long a gone node is kept in the table and probed.
	tombstoneTime = 10 * time.Minute
	// syncInterval is the time between two table syncs.
	syncInterval = 20 * time.Second
	// syncBytes limits the entries in a datagram so that it fits into one packet on a
	// common link.
	syncBytes = 1100
)

// membershipOptions returns the options of the member table.
func membershipOptions(self membership.Member, seed uint64) membership.NodesOptions {
	return membership.NodesOptions{
		Self:          self,
		Seed:          seed,
		ProbeInterval: probeInterval,
		ProbeTimeout:  probeTimeout,
		SuspicionTime: suspicionTime,

		TransmissionFactor: transmissionFactor,
		ReconnectInterval:  reconnectInterval,
		SyncInterval:       syncInterval,
		TombstoneTime:      tombstoneTime,
		AnnouncementFanout: announcementFanout,
		AnnouncementDelay:  announcementDelay,
		IsolationTime:      isolationTime,
		ProbeGone:          true,
		SyncBytes:          syncBytes,
	}
}
