package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banksail/banksail/policy"
)

// entry is the state of another node in the table.
type entry struct {
	member Member
	// deadline is when a suspicion, a departure or a tombstone expires. It is unused
	// for live members.
	deadline time.Duration
	// listed is true if the machine list names the member as live.
	listed bool
	// selfDetected is true if this node detected the state itself, unannounced if it
	// has not published it yet.
	selfDetected bool
	unannounced  bool
}

// Nodes is the failure detector and member table of one node.
//
// The owner calls Tick by the time that NextTick returns, sends the returned requests,
// and passes in their results and the messages of other nodes.
type Nodes struct {
	options NodesOptions
	random  *rand.Rand
	self    Member

	// entries holds every known member except the node itself.
	entries map[string]*entry
	// ids holds the keys of entries in sorted order, so that no choice depends on the
	// iteration order of a map.
	ids []string
	// candidates holds nodes known only from the machine list.
	candidates map[string]Member
	updates    broadcasts

	// probeOrder holds the members still to be probed in the current round.
	probeOrder []string
	pending    map[RequestID]pendingRequest
	// pendingIndirect is the number of unanswered indirect probes by target.
	pendingIndirect map[string]int
	lastRequest     RequestID

	lastTick         time.Duration
	nextProbe        time.Duration
	nextReconnect    time.Duration
	nextSync         time.Duration
	nextExpiry       time.Duration
	nextAnnouncement time.Duration
	// syncBackoff is the time until the next sync, which grows while syncs bring
	// nothing new.
	syncBackoff time.Duration
	syncBucket  int
	joined      bool
	started     bool

	version uint64
	// stateChanges counts changes of entries other than revisions. inserted counts new
	// entries, insertedBeforePass those before the current pass of syncs over all
	// buckets.
	stateChanges       uint64
	inserted           uint64
	insertedBeforePass uint64
	changes            []Member

	// lastReply is when another node last replied to a request. heldSuspicions are the
	// suspicions raised since then and not published yet.
	lastReply      time.Duration
	heldSuspicions []heldSuspicion
}

// NewNodes returns a table that holds only the node itself.
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
	// seedStream makes the random sequence differ from those of other users of the same
	// seed.
	seedStream = 0x6d656d62657273
	never      = time.Duration(math.MaxInt64)
)

// Self returns the node's own entry.
func (n *Nodes) Self() Member { return n.self }

// Version increases whenever a member appears, disappears, or changes its state,
// address or incarnation. Changes of a revision do not increase it.
func (n *Nodes) Version() uint64 { return n.version }

// Members returns the node itself and all members that are not gone, sorted by ID.
func (n *Nodes) Members() []Member {
	members := n.Table()
	return slices.DeleteFunc(members, func(m Member) bool { return m.State == Gone })
}

// Table returns all known members, including tombstones and the node itself, sorted by
// ID.
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

// Lookup returns the entry of a member. The result is false if the member is unknown.
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

// maximumChanges limits the changes held for TakeChanges. Further ones are dropped.
const maximumChanges = 2 * MaximumMembers

// TakeChanges returns the entries that have changed since the last call, in order.
func (n *Nodes) TakeChanges() []Member {
	changes := n.changes
	n.changes = nil
	return changes
}

// SetRevision records the configuration revision in force at this node.
func (n *Nodes) SetRevision(revision policy.Revision) {
	if revision <= n.self.Revision {
		return
	}
	n.self.Revision = revision
	n.updates.add(n.self.ID, revisionUpdate)
}

// SetDetails changes the details in this node's own entry and increments its
// incarnation.
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

// Depart marks the node as gone, once its work has finished, and returns announcements
// to a few members.
func (n *Nodes) Depart() []Request {
	n.self.State = Gone
	n.updates.add(n.self.ID, stateUpdate)
	n.version++
	return n.announce()
}

// announcementTargets is the number of members to which a departure is announced. They
// pass it on to the rest.
const announcementTargets = 5

// maximumRevisionRequests is the maximum number of requests that RequestRevisions
// returns.
const maximumRevisionRequests = 64

// RequestRevisions returns requests to random live or suspect members whose known
// configuration revision is lower than the given one. Their replies contain the
// revision in force.
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

// announceTo sends the newest updates to up to count live members. This counts as a
// single transmission of each update.
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

// size returns the number of members that are not gone, including the node itself.
func (n *Nodes) size() int {
	count := 1
	for _, id := range n.ids {
		if n.entries[id].member.State != Gone {
			count++
		}
	}
	return count
}

// transmissionLimit returns the number of messages in which an update is sent.
func (n *Nodes) transmissionLimit() int {
	return n.options.TransmissionFactor * logarithm(n.size())
}

// suspicionTime returns how long a suspect has to refute.
func (n *Nodes) suspicionTime() time.Duration {
	if n.options.SuspicionTime > 0 {
		return n.options.SuspicionTime
	}
	return n.options.ProbeInterval * time.Duration(n.options.SuspicionFactor*logarithm(n.size()))
}

// logarithm returns the decimal logarithm of size+1, rounded up, but at least 1.
func logarithm(size int) int {
	return max(1, int(math.Ceil(math.Log10(float64(size+1)))))
}

// payload returns the updates for a message to a member. Unless that member is live, or
// is suspected but the suspicion unpublished, they include its own entry, so that it
// can refute it.
func (n *Nodes) payload(to string) []Member {
	updates := n.updates.take(to, n.transmissionLimit(), n.Lookup)
	if known, ok := n.entries[to]; ok && known.member.State != Live && !known.unannounced {
		updates = append(updates, known.member)
	}
	return updates
}

// pickMembers returns up to count random members that satisfy fits.
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
