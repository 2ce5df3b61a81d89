package front

import (
	"time"

	"github.com/banksail/banksail/rollout"
)

// Settings are those of one node.
type Settings struct {
	// Node names the node; Zone and Region are where it stands.
	Node, Zone, Region string
	// Regions names the region of each zone.
	Regions map[string]string
	// Capacity is the node's processor capacity, in cores; zero is unknown.
	Capacity float64
	// FirstStart says that no earlier incarnation of any node has run.
	FirstStart bool
	// LapseTime is how long a server may be silent until its entry goes from the registry;
	// zero is unknown.
	LapseTime time.Duration
	// Callers and Readiness are the addresses that are listened on. Directory is that for
	// callers that ask where to connect; it and Metrics may be empty. Peer is that for other
	// nodes; empty is none.
	Callers, Readiness, Directory, Metrics, Peer string
	// Gossip is the address for the datagrams by which nodes watch each other.
	Gossip string
	// Seeds are addresses of other nodes as Peer is, and GossipSeeds as Gossip is; they
	// may be stale or down.
	Seeds, GossipSeeds []string
	// GracePeriod is the time between the request to stop and the end.
	GracePeriod time.Duration
	// DrainBound is the time after which a leaving server gets no new request,
	// and ApplyBound that after which a table is in force.
	DrainBound, ApplyBound time.Duration
	// EvacuateBound is the time after which nothing more is sent to the servers of a zone
	// that the operator wants to be empty; zero is DrainBound.
	EvacuateBound time.Duration
	// Rollouts bounds what unproven versions of servers get; the zero value is that versions
	// are not rolled out on request, and mean nothing.
	Rollouts rollout.Bounds
	// ColdOvershoot and ColdSlack bound what a cold server gets in a second: so many times
	// the rate that it bears, and so many requests more.
	ColdOvershoot, ColdSlack float64
	// BudgetRatio, BudgetFixed and BudgetWindow bound the extra sends to a
	// service by all nodes together.
	BudgetRatio, BudgetFixed float64
	BudgetWindow             time.Duration
	// ReadsPerSecond is what all nodes together may ask the registry.
	ReadsPerSecond float64
	// MaxDirectoryTTL is the longest time for which an answer of the directory counts.
	MaxDirectoryTTL time.Duration
	// MinLeaseTTL is the shortest lease of the registry.
	MinLeaseTTL time.Duration
}
