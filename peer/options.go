package peer

import (
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/claim"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/policy"
)

// Errors of the agent.
var (
	// ErrUnknownMember: the member is not in the table, or is gone.
	ErrUnknownMember = errors.New("peer: unknown member")
	// ErrUnreachable: the peer gave no well-formed reply in time.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrMalformed: a message is out of its bounds.
	ErrMalformed = errors.New("peer: malformed message")
	// ErrTooLarge: a configuration exceeds MaximumConfigurationBytes.
	ErrTooLarge = errors.New("peer: configuration too large")
)

// Bounds of messages and of work in flight.
const (
	// MaximumConfigurationBytes bounds a configuration record.
	MaximumConfigurationBytes = 4 << 20
	// maximumRequestBytes bounds the body of any request to the agent.
	maximumRequestBytes = MaximumConfigurationBytes + 4096
	// maximumReplyBytes bounds the body of any reply to the agent.
	maximumReplyBytes = MaximumConfigurationBytes + 4096
	// maximumGossipBytes bounds the body of a request of any other kind than a
	// configuration.
	maximumGossipBytes = 64 << 10
	// maximumInFlight bounds the requests that the agent has out at once.
	maximumInFlight = 64
)

// Times of the agent.
const (
	configurationTimeout = 2 * time.Second
	departTimeout        = time.Second
	listWatchTimeout     = 30 * time.Second
	listReadTimeout      = listWatchTimeout + 5*time.Second
	// maximumUnchangedWatches is the number of watches in a row that hear nothing after which the list is
	// read whole: one whose versions have gone back is heard again 10 min later, at 1.5 KB/s
	// for 6,900 machines.
	maximumUnchangedWatches = 20
	listRetryBase           = 500 * time.Millisecond
	maximumListRetry        = 10 * time.Second
	// maximumTick bounds the time between two looks at the configuration
	// source and at the servers' deadlines.
	maximumTick = 500 * time.Millisecond
	// MaximumProbeTimeout bounds what an indirect probe may ask for.
	MaximumProbeTimeout = 5 * time.Second
)

// ConfigurationSource is what the agent needs of the configuration replicator.
// Its methods are called from several goroutines, and under no lock of the agent.
type ConfigurationSource interface {
	// Revision is the one in force; zero when there is none.
	Revision() policy.Revision
	// RecordAbove returns the revision in force and what a node that has the
	// given one needs to get there; the revision is zero when it needs nothing.
	RecordAbove(above policy.Revision) (policy.Revision, []byte)
	// Offer hands over what a node pushed; what is not newer is ignored.
	Offer(revision policy.Revision, record []byte) error
}

// AgentOptions configure an Agent.
type AgentOptions struct {
	// Self is the node's own entry. A zero incarnation is replaced by the
	// milliseconds of the wall clock, so that it grows with each start.
	Self membership.Member
	// HTTPClient reaches the peers. Its transport owns how to dial.
	HTTPClient *http.Client
	// MachineList names the machines; nil for none.
	MachineList machinelist.Conn
	// Configurations is the node's configuration replicator; nil for none.
	Configurations ConfigurationSource
	// ForwardTarget asks servers for other nodes; nil for a node that owns no
	// connections.
	ForwardTarget ForwardTarget
	// ForwardBodyBytes bounds the body of one forwarded sub-request; zero means
	// a default. All nodes need the same.
	ForwardBodyBytes int64
	Logger           zerolog.Logger
	Seed             uint64
	// Nodes overrides times of the failure detector; Self and Seed are set by
	// the agent.
	Nodes membership.NodesOptions
	// Servers overrides times of the table of servers.
	Servers membership.ServersOptions
	// Claims bounds the claims of requests that are kept for other nodes.
	Claims claim.TableOptions
}
