package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banksail/banksail/policy"
)

// entry is what a node knows of another one.
type entry struct {
	member Member
	// deadline ends a suspicion, a leaving or a tombstone; it is not used for
	// live members.
	deadline time.Duration
	// listed says that the machine list names the member as live.
	listed bool
	// selfDetected says that the state is this node's own finding, and unconfirmed that it has
	// told nobody of it.
	selfDetected bool
	unannounced  bool
}

// Nodes is the failure detector and member table of one node.
//
// The owner calls Tick no later than NextTick says, sends the requests that it
// gets, and hands in results and what other nodes send.
type Nodes struct {
	options NodesOptions
	random  *rand.Rand
	self    Member

	// entries holds every known member but the node itself.
	entries map[string]*entry
	// ids holds the keys of entries, sorted, so that no choice depends on the
	// order of a map.
	ids []string
	// candidates holds nodes that only the machine list names.
	candidates map[string]Member
	updates    broadcasts

	// probeOrder is the rest of the current round of probes.
	probeOrder []string
	pending    map[RequestID]pendingRequest
	// pendingIndirect counts the indirect probes of a target that are still out.
	pendingIndirect map[string]int
	lastRequest     RequestID

	lastTick         time.Duration
	nextProbe        time.Duration
	nextReconnect    time.Duration
	nextSync         time.Duration
	nextExpiry       time.Duration
	nextAnnouncement time.Duration
	// syncBackoff is the time between two comparisons, which grows while they bring nothing.
	syncBackoff time.Duration
	syncBucket  int
	joined      bool
	started     bool

	version uint64
	// stateChanges counts all changes of entries but those of a revision,
	// inserted only new entries, insertedBeforePass those before the current pass
	// of comparisons over all buckets.
	stateChanges       uint64
	inserted           uint64
	insertedBeforePass uint64
	changes            []Member

	// lastReply is when another node last answered a request, and findings are what
	// this node itself found of others since then.
	lastReply      time.Duration
	heldSuspicions []heldSuspicion
}

// NewNodes returns a table that holds the node itself only.
func NewNodes(options NodesOptions) *Nodes {
	options = options.withDefaults()
	self := options.Self
	self.State = Live
	nodes := &Nodes{
		options:          options,
		random:           rand.New(rand.NewPCG(options.Seed, seedStream)),
		self:             self,
		entries:          make(map[string]*entry),
		candidates:       make(map[string]Member),
		pending:          make(map[RequestID]pendingRequest),
		pendingIndirect:  make(map[string]int),
		nextExpiry:       never,
		nextAnnouncement: never,
		version:          1,
	}
	nodes.updates.add(self.ID, stateUpdate)
	return nodes
}

const (
	// seedStream keeps the table's random numbers apart from other users of
	// the same seed.
	seedStream = 0x6d656d62657273
	never      = time.Duration(math.MaxInt64)
)

// Self returns the node's own entry.
func (n *Nodes) Self() Member { return n.self }

// Version grows whenever a member appears, disappears, or changes its state,
// address or incarnation. It does not grow for a revision.
func (n *Nodes) Version() uint64 { return n.version }

// Members returns the node itself and every member that is not gone, sorted by ID.
func (n *Nodes) Members() []Member {
	members := n.Table()
	return slices.DeleteFunc(members, func(m Member) bool { return m.State == Gone })
}

// Table returns every known member, tombstones and the node itself among them,
// sorted by ID.
func (n *Nodes) Table() []Member {
	members := make([]Member, 0, len(n.ids)+1)
	at, _ := slices.BinarySearch(n.ids, n.self.ID)
	for i, id := range n.ids {
		if i == at {
			members = append(members, n.self)
		}
		members = append(members, n.entries[id].member)
	}
	if at == len(n.ids) {
		members = append(members, n.self)
	}
	return members
}

// Lookup returns what is known of a member.
func (n *Nodes) Lookup(id string) (Member, bool) {
	if id == n.self.ID {
		return n.self, true
	}
	known, ok := n.entries[id]
	if !ok {
		return Member{}, false
	}
	return known.member, true
}

// maximumChanges bounds the changes that wait to be taken; later ones are lost.
const maximumChanges = 2 * MaximumMembers

// TakeChanges returns the entries that changed since the last call, in order.
func (n *Nodes) TakeChanges() []Member {
	changes := n.changes
	n.changes = nil
	return changes
}

// SetRevision records the configuration in force at the node itself.
func (n *Nodes) SetRevision(revision policy.Revision) {
	if revision <= n.self.Revision {
		return
	}
	n.self.Revision = revision
	n.updates.add(n.self.ID, revisionUpdate)
}

// SetDetails changes what the node tells of itself.
func (n *Nodes) SetDetails(details string) {
	if details == n.self.Details || len(details) > MaximumDetailsBytes {
		return
	}
	n.self.Details = details
	n.self.Incarnation = min(n.self.Incarnation+1, MaximumIncarnation)
	n.updates.add(n.self.ID, stateUpdate)
	n.version++
}

// Leave marks the node as leaving and returns announcements to a few members.
func (n *Nodes) Leave() []Request {
	if n.self.State == Leaving {
		return nil
	}
	n.self.State = Leaving
	n.updates.add(n.self.ID, stateUpdate)
	n.version++
	return n.announce()
}

// Depart marks the node as gone, once its work has ended, and returns
// announcements to a few members.
func (n *Nodes) Depart() []Request {
	n.self.State = Gone
	n.updates.add(n.self.ID, stateUpdate)
	n.version++
	return n.announce()
}

// announcementTargets is the number of members that are told of a leaving at
// once; the rest learn from them.
const announcementTargets = 5

// maximumRevisionRequests bounds the members that an inquiry asks.
const maximumRevisionRequests = 64

// RequestRevisions returns requests to live members whose configuration is not known to
// be as new as the revision; their replies tell the one in force there. It asks
// a bounded number, at random.
func (n *Nodes) RequestRevisions(revision policy.Revision) []Request {
	targets := n.pickMembers(maximumRevisionRequests, func(m Member) bool {
		return m.State <= Suspect && m.Revision < revision
	})
	requests := make([]Request, 0, len(targets))
	for _, target := range targets {
		requests = append(requests, n.newRequest(ReconnectProbe, target))
	}
	return requests
}

func (n *Nodes) announce() []Request { return n.announceTo(announcementTargets) }

// announceTo sends the newest updates to so many live members; it counts as one
// transmission of each.
func (n *Nodes) announceTo(count int) []Request {
	targets := n.pickMembers(count, func(m Member) bool { return m.State == Live })
	updates := n.updates.take("", n.transmissionLimit(), n.Lookup)
	requests := make([]Request, 0, len(targets))
	for _, target := range targets {
		request := n.newRequest(Announcement, target)
		request.Updates = updates
		requests = append(requests, request)
	}
	return requests
}

// size is the number of members that are not gone, the node itself among them.
func (n *Nodes) size() int {
	count := 1
	for _, id := range n.ids {
		if n.entries[id].member.State != Gone {
			count++
		}
	}
	return count
}

func (n *Nodes) transmissionLimit() int {
	return n.options.TransmissionFactor * logarithm(n.size())
}

func (n *Nodes) suspicionTime() time.Duration {
	if n.options.SuspicionTime > 0 {
		return n.options.SuspicionTime
	}
	return n.options.ProbeInterval * time.Duration(n.options.SuspicionFactor*logarithm(n.size()))
}

// logarithm is the decimal logarithm of the size plus one, rounded up, at least one.
func logarithm(size int) int {
	return max(1, int(math.Ceil(math.Log10(float64(size+1)))))
}

// payload picks the updates for a message to a member. What is known of that
// member itself goes along unless it is plainly live, so that it can refute.
func (n *Nodes) payload(to string) []Member {
	updates := n.updates.take(to, n.transmissionLimit(), n.Lookup)
	if known, ok := n.entries[to]; ok && known.member.State != Live && !known.unannounced {
		updates = append(updates, known.member)
	}
	return updates
}

// pickMembers returns up to count members that fit, at random.
func (n *Nodes) pickMembers(count int, fits func(Member) bool) []Member {
	return n.pickEntries(count, func(known *entry) bool { return fits(known.member) })
}

func (n *Nodes) pickEntries(count int, fits func(*entry) bool) []Member {
	fitting := make([]Member, 0, len(n.ids))
	for _, id := range n.ids {
		if known := n.entries[id]; fits(known) {
			fitting = append(fitting, known.member)
		}
	}
	n.random.Shuffle(len(fitting), func(i, j int) { fitting[i], fitting[j] = fitting[j], fitting[i] })
	return fitting[:min(count, len(fitting))]
}
