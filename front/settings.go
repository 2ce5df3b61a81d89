package front

import (
	"time"

	"github.com/banksail/banksail/rollout"
)

// Settings configures one node.
type Settings struct {
	// Node is the node's ID; Zone and Region are its location.
	Node, Zone, Region string
	// Regions maps zones to regions.
	Regions map[string]string
	// Capacity is the node's processor capacity in cores; zero means unknown.
	Capacity float64
	// MemoryBytes is the process's memory limit; zero means unknown.
	MemoryBytes int64
	// MaxSockets is the number of sockets that the process may open; zero means unknown.
	MaxSockets int
	// FirstStart is set if no node has ever run before.
	FirstStart bool
	// EntryTTL is how long a server may send no heartbeat before its registry entry expires; zero means
	// unknown.
	EntryTTL time.Duration
	// Callers and Readiness are the listen addresses for callers and for readiness checks.
	// Directory, for callers' address look-ups, Metrics and Peer, for other nodes, are optional.
	Callers, Readiness, Directory, Metrics, Peer string
	// Gossip is the address for the datagrams with which nodes monitor each other.
	Gossip string
	// Seeds are Peer addresses of other nodes, and GossipSeeds their Gossip addresses. They may be
	// stale, and the nodes may be down.
	Seeds, GossipSeeds []string
	// GracePeriod is the time from the stop signal until the process must have ended.
	GracePeriod time.Duration
	// DrainBound is the time within which a draining server must stop receiving new requests, and
	// ApplyBound the time within which a new table must be in force.
	DrainBound, ApplyBound time.Duration
	// EvacuateBound is the time within which requests to the servers of an evacuated zone must
	// stop; zero means DrainBound.
	EvacuateBound time.Duration
	// Rollouts limits what unproven server versions receive. With the zero value there are no
	// roll-outs on request, and versions have no meaning.
	Rollouts rollout.Bounds
	// ColdOvershoot and ColdSlack limit the requests to a cold server in any second, to
	// ColdOvershoot times the rate that it can handle, plus ColdSlack requests.
	ColdOvershoot, ColdSlack float64
	// BudgetRatio, BudgetFixed and BudgetWindow limit the extra attempts to a service by all nodes
	// together.
	BudgetRatio, BudgetFixed float64
	BudgetWindow             time.Duration
	// ReadsPerSecond is the registry's read budget for all nodes together.
	ReadsPerSecond float64
	// MaxDirectoryTTL is the maximum TTL of directory answers.
	MaxDirectoryTTL time.Duration
	// MinLeaseTTL is the minimum TTL of registry leases.
	MinLeaseTTL time.Duration
}
