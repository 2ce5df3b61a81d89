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
	// ErrUnknownMember: the member is not in the node table, or is gone.
	ErrUnknownMember = errors.New("peer: unknown member")
	// ErrUnreachable: the peer did not send a well-formed response in time.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrMalformed: a message has an invalid or oversized field.
	ErrMalformed = errors.New("peer: malformed message")
	// ErrTooLarge: a configuration exceeds MaximumConfigurationBytes.
	ErrTooLarge = errors.New("peer: configuration too large")
)

// Limits on messages and on requests in flight.
const (
	// MaximumConfigurationBytes limits the size of a configuration record.
	MaximumConfigurationBytes = 4 << 20
	// maximumRequestBytes limits the body of a request that pushes a
	// configuration.
	maximumRequestBytes = MaximumConfigurationBytes + 4096
	// maximumReplyBytes limits the body of any response to the agent.
	maximumReplyBytes = MaximumConfigurationBytes + 4096
	// maximumGossipBytes limits the body of requests other than pushed
	// configurations and forwards.
	maximumGossipBytes = 64 << 10
	// maximumInFlight limits the agent's membership requests in flight.
	maximumInFlight = 64
)

// Time-outs and intervals of the agent.
const (
	configurationTimeout = 2 * time.Second
	departTimeout        = time.Second
	listWatchTimeout     = 30 * time.Second
	listReadTimeout      = listWatchTimeout + 5*time.Second
	// maximumUnchangedWatches is the number of consecutive watches without a
	// change after which the whole list is read. A list whose version has
	// decreased is thus noticed within 10 min, which costs 1.5 KB/s for 6,900
	// machines.
	maximumUnchangedWatches = 20
	listRetryBase           = 500 * time.Millisecond
	maximumListRetry        = 10 * time.Second
	// maximumTick limits the interval between two checks of the configuration
	// source and of the servers' deadlines.
	maximumTick = 500 * time.Millisecond
	// MaximumProbeTimeout limits the time-out that an indirect probe may request.
	MaximumProbeTimeout = 5 * time.Second
)

// ConfigurationSource is the part of the configuration replicator that the agent
// uses. Its methods must be safe for concurrent use; the agent calls them without
// holding a lock.
type ConfigurationSource interface {
	// Revision returns the revision in force, zero if there is none.
	Revision() policy.Revision
	// RecordAbove returns the revision in force and the record or delta that
	// brings a node from revision above to it. The returned revision is zero if
	// that node needs nothing.
	RecordAbove(above policy.Revision) (policy.Revision, []byte)
	// Offer passes on a record that a node pushed; one that is not newer than the
	// record in force is ignored.
	Offer(revision policy.Revision, record []byte) error
}

// AgentOptions configures an Agent.
type AgentOptions struct {
	// Self is the node's own membership entry. A zero incarnation is replaced by
	// the wall-clock time in milliseconds, so that it increases with each start.
	Self membership.Member
	// HTTPClient sends requests to peers; its transport determines how to dial.
	// Nil selects http.DefaultClient.
	HTTPClient *http.Client
	// MachineList is the source of the machine list; nil for none.
	MachineList machinelist.Conn
	// Configurations is the node's configuration replicator; nil for none.
	Configurations ConfigurationSource
	// ForwardTarget sends requests to servers on behalf of other nodes; nil for a
	// node that owns no connections.
	ForwardTarget ForwardTarget
	// ForwardBodyBytes limits the body of one forwarded sub-request; zero means
	// DefaultForwardBodyBytes. It must be the same on all nodes.
	ForwardBodyBytes int64
	Logger           zerolog.Logger
	Seed             uint64
	// Nodes overrides settings of the failure detector; its Self and Seed are set
	// by the agent.
	Nodes membership.NodesOptions
	// Servers overrides settings of the server table.
	Servers membership.ServersOptions
	// Claims limits the claims that this node records as an owner.
	Claims claim.TableOptions
}
