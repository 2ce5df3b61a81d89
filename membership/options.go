package membership

import "time"

// Defaults of NodesOptions.
const (
	DefaultProbeInterval      = time.Second
	DefaultProbeTimeout       = 500 * time.Millisecond
	DefaultIndirectProbes     = 3
	DefaultSuspicionFactor    = 4
	DefaultTransmissionFactor = 4
	DefaultReconnectInterval  = 5 * time.Second
	DefaultSyncInterval       = 30 * time.Second
	DefaultTombstoneTime      = 3 * time.Hour
	DefaultLeavingTime        = time.Minute
)

// Bounds of messages and tables.
const (
	// MaximumUpdates bounds the piggybacked updates of a message.
	MaximumUpdates = 24
	// MaximumUpdateBytes bounds their encoded size.
	MaximumUpdateBytes = 1024
	// MaximumSyncMembers bounds the entries in one reply to a sync.
	MaximumSyncMembers = 256
	// MaximumMembers bounds the table, tombstones among them.
	MaximumMembers = 8192
	// MaximumCandidates bounds the nodes known from the machine list only.
	MaximumCandidates = 8192
	// DigestBuckets is the number of buckets that a table's digest has.
	DigestBuckets = 64
)

// NodesOptions configure Nodes. Zero fields take the defaults.
type NodesOptions struct {
	// Self is the node's own entry. Its state is taken as Live. Its
	// incarnation should exceed that of earlier lives; when it does not, the
	// node raises it once a peer tells it so.
	Self Member
	// Seed makes the choices repeatable.
	Seed uint64
	// ProbeInterval is the time between two direct probes of this node.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a direct probe; indirect ones get twice as long.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of peers asked to probe in turn.
	IndirectProbes int
	// SuspicionFactor times the decimal logarithm of the number of members is
	// the number of probe intervals for which a suspect may refute.
	SuspicionFactor int
	// SuspicionTime is that time itself; zero leaves it to SuspicionFactor.
	SuspicionTime time.Duration
	// TransmissionFactor times the decimal logarithm of the number of members
	// is the number of messages that carry an update.
	TransmissionFactor int
	// ReconnectInterval is the time between two probes of gone members and
	// of nodes that only the machine list names.
	ReconnectInterval time.Duration
	// SyncInterval is the time between two comparisons with a random member.
	SyncInterval time.Duration
	// TombstoneTime is how long a gone member is remembered.
	TombstoneTime time.Duration
	// LeavingTime is how long a leaving member may take to go.
	LeavingTime time.Duration
	// AnnouncementFanout is the number of members that are told at once of a suspicion, its
	// refutation or a leaving that the node has just learned. Zero is none: then such
	// news spreads with the probes alone, which takes several probe intervals.
	AnnouncementFanout int
	// AnnouncementDelay is how long news is gathered before it is told.
	AnnouncementDelay time.Duration
	// IsolationTime is the time without any reply after which a node takes itself for
	// cut off: what it found of others since the last reply is void once a reply comes.
	// Zero is never.
	IsolationTime time.Duration
	// ProbeGone makes gone members be probed again although no list names them, so
	// that parted regions come together without a list.
	ProbeGone bool
	// SyncBytes bounds the entries of a reply to a comparison, but for the first
	// bucket; zero leaves it to MaximumSyncMembers.
	SyncBytes int
}

func (o NodesOptions) withDefaults() NodesOptions {
	setDefault(&o.ProbeInterval, DefaultProbeInterval)
	setDefault(&o.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&o.IndirectProbes, DefaultIndirectProbes)
	setDefault(&o.SuspicionFactor, DefaultSuspicionFactor)
	setDefault(&o.TransmissionFactor, DefaultTransmissionFactor)
	setDefault(&o.ReconnectInterval, DefaultReconnectInterval)
	setDefault(&o.SyncInterval, DefaultSyncInterval)
	setDefault(&o.TombstoneTime, DefaultTombstoneTime)
	setDefault(&o.LeavingTime, DefaultLeavingTime)
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
