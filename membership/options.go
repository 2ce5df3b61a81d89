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

// Limits of messages and tables.
const (
	// MaximumUpdates is the maximum number of piggybacked updates in a message.
	MaximumUpdates = 24
	// MaximumUpdateBytes is the maximum encoded size of those updates.
	MaximumUpdateBytes = 1024
	// MaximumSyncMembers is the maximum number of entries in a reply to a sync.
	MaximumSyncMembers = 256
	// MaximumMembers is the maximum size of the table, including tombstones.
	MaximumMembers = 8192
	// MaximumCandidates is the maximum number of nodes known only from the machine
	// list.
	MaximumCandidates = 8192
	// DigestBuckets is the number of buckets in a table's digest.
	DigestBuckets = 64
)

// NodesOptions configures Nodes. Zero fields take the defaults.
type NodesOptions struct {
	// Self is the node's own entry. Its state is set to Live. Its incarnation should
	// exceed those of the node's earlier processes; if it does not, the node raises it
	// when a peer reports a higher one.
	Self Member
	// Seed makes random choices reproducible.
	Seed uint64
	// ProbeInterval is the time between two direct probes by this node.
	ProbeInterval time.Duration
	// ProbeTimeout is the timeout of a direct probe. Indirect probes get twice as long.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of peers that are asked to probe a member that did
	// not reply.
	IndirectProbes int
	// SuspicionFactor times the decimal logarithm of the number of members is the
	// suspicion timeout in probe intervals.
	SuspicionFactor int
	// SuspicionTime is the suspicion timeout itself. If zero, it is derived from
	// SuspicionFactor.
	SuspicionTime time.Duration
	// TransmissionFactor times the decimal logarithm of the number of members is the
	// number of messages in which an update is sent.
	TransmissionFactor int
	// ReconnectInterval is the time between two probes of gone members and of nodes
	// known only from the machine list.
	ReconnectInterval time.Duration
	// SyncInterval is the maximum time between two syncs with a random member.
	SyncInterval time.Duration
	// TombstoneTime is how long a gone member is kept in the table.
	TombstoneTime time.Duration
	// LeavingTime is how long a member may be leaving before it becomes gone.
	LeavingTime time.Duration
	// AnnouncementFanout is the number of members to which the node announces a new
	// suspicion, refutation or departure immediately. If zero, such updates are only
	// piggybacked on probes, which takes several probe intervals.
	AnnouncementFanout int
	// AnnouncementDelay is how long updates are batched before they are announced.
	AnnouncementDelay time.Duration
	// IsolationTime is the time without any reply after which the node considers itself
	// isolated. Suspicions that it raised since the last reply are then discarded when
	// a reply arrives. Zero disables this.
	IsolationTime time.Duration
	// ProbeGone makes the node keep probing gone members that are not on the machine
	// list, so that partitioned regions rejoin without a list.
	ProbeGone bool
	// SyncBytes limits the size of the entries in a reply to a sync, except that the
	// first bucket is always sent whole. Zero means that only MaximumSyncMembers
	// applies.
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
