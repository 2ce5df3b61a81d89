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

// Options sets up an Agent. Zero fields get defaults.
type Options struct {
	// Self is the node, with the address of its datagrams; its ID must outlast restarts.
	Self discovery.Node
	// Regions names the region of each zone.
	Regions map[string]string
	// Seeds are the addresses for datagrams of other nodes; they may be stale or down.
	Seeds []string
	// Seed makes choices repeatable.
	Seed   uint64
	Logger zerolog.Logger
	// Registry takes the agent's metrics; nil is none.
	Registry prometheus.Registerer
	// ListenPacket opens the socket; the default is the operating system's UDP.
	ListenPacket func(network, address string) (net.PacketConn, error)
	// OnFinding takes another node's finding on a request that ends servers, from one goroutine;
	// it must not block. Nil is nobody.
	OnFinding func(quarantine.Finding)
	// Changed is called when what is known of the nodes may have changed, from several
	// goroutines; it must not block.
	Changed func()
}

// The detector's times. A dead node is to be passed over about a second after its
// death: it is probed by some other node each probeInterval on average, and is suspect
// after probeTimeout and relayTimeout more; news of it take some announcementDelay.
const (
	probeInterval = 300 * time.Millisecond
	// probeTimeout is over three times the longest round trip between regions on the
	// users' sites (24 to 40 ms), with room for a small processor that is at work. A
	// suspicion that is wrong costs little: the next probe refutes it.
	probeTimeout = 150 * time.Millisecond
	// relayTimeout is how long a node that probes for another one waits.
	relayTimeout = 150 * time.Millisecond
	// suspicionTime is how long a suspect may refute: six probes of the node that found
	// it, and the pauses of a processor that is shared.
	suspicionTime = 6 * probeInterval
	// announcementDelay gathers the losses of many nodes into few datagrams, and announcementFanout
	// reaches 98 of 100 nodes; the probes reach the rest.
	announcementDelay  = 40 * time.Millisecond
	announcementFanout = 4
	// transmissionFactor makes each node pass an update on six times at 100 to 998 nodes,
	// which reaches 997 of 1,000; comparisons reach the rest. With twelve times, the
	// detector's bytes on a day with many restarts were half as many again.
	transmissionFactor = 2
	// isolationTime is five failed probes in a row.
	isolationTime = 5 * probeInterval
	// reconnectInterval is the time between two probes of a node that is gone.
	reconnectInterval = time.Second
	// tombstoneTime is how long a gone node is probed and counts as known.
	tombstoneTime = 10 * time.Minute
	// syncInterval is the time between two comparisons of tables.
	syncInterval = 20 * time.Second
	// syncBytes bounds the entries of a datagram, which then fits into one
	// packet of a usual link.
	syncBytes = 1100
)

// membershipOptions are those of the table.
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
		NewsFanout:         announcementFanout,
		NewsDelay:          announcementDelay,
		IsolationTime:      isolationTime,
		ProbeGone:          true,
		SyncBytes:          syncBytes,
	}
}
