package membership

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// startSync starts a sync with a random live member.
func (n *Nodes) startSync() []Request {
	targets := n.pickMembers(1, func(m Member) bool { return m.State == Live })
	if len(targets) == 0 {
		return nil
	}
	return []Request{n.newSync(targets[0], n.syncBucket)}
}

// syncTimeoutFactor is the ratio of the timeout of a sync to that of a probe.
const syncTimeoutFactor = 4

func (n *Nodes) newSync(to Member, firstBucket int) Request {
	request := n.newRequest(Sync, to)
	request.Timeout = syncTimeoutFactor * n.options.ProbeTimeout
	request.Digests = n.digests()
	request.FirstBucket = firstBucket
	pending := n.pending[request.ID]
	pending.firstBucket = firstBucket
	n.pending[request.ID] = pending
	return request
}

// digests returns one digest per bucket of the table. Members are assigned to buckets
// by their IDs.
func (n *Nodes) digests() []uint64 {
	digests := make([]uint64, DigestBuckets)
	for _, member := range n.Table() {
		digests[bucketOf(member.ID)] += digest(member)
	}
	return digests
}

func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % DigestBuckets)
}

// digest hashes the fields of a member that two synchronized tables have in common.
func digest(member Member) uint64 {
	buffer := make([]byte, 0, MaximumIDBytes)
	buffer = append(buffer, member.ID...)
	buffer = binary.BigEndian.AppendUint64(buffer, member.Incarnation)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(member.State))
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(member.Revision))
	return xxhash.Sum64(buffer)
}

// ReceiveSync replies to another node's Sync with the entries of the buckets that
// differ, from firstBucket on, up to MaximumSyncMembers.
func (n *Nodes) ReceiveSync(now time.Duration, sender Member, digests []uint64, firstBucket int) SyncReply {
	n.apply(now, sender, fromSender)
	reply := SyncReply{Responder: n.self}
	if n.Isolated(now) {
		return reply // its view of the others may be wrong because of its own fault
	}
	buckets := n.differingBuckets(digests)
	size := 0
	for bucket := max(0, firstBucket); bucket < DigestBuckets; bucket++ {
		members := buckets[bucket]
		size += encodedSize(members)
		if len(reply.Members) > 0 && !n.fitsReply(len(reply.Members)+len(members), size) {
			reply.More = true
			reply.NextBucket = bucket
			break
		}
		reply.Members = append(reply.Members, members[:min(len(members), MaximumSyncMembers)]...)
	}
	return reply
}

// fitsReply reports whether count entries of the given total size fit into a reply.
func (n *Nodes) fitsReply(count, size int) bool {
	return count <= MaximumSyncMembers && (n.options.SyncBytes == 0 || size <= n.options.SyncBytes)
}

// encodedSize returns an upper bound on the encoded size of the members.
func encodedSize(members []Member) int {
	size := 0
	for _, member := range members {
		size += member.encodedBytes()
	}
	return size
}

// A sync that returns a member unknown to gossip, or at least manyStateChanges state
// changes, is followed by another one after minSyncProbeIntervals probe intervals, as
// many nodes have just started or a partition has healed. From then on, and from a
// node's start, the time between two syncs doubles up to SyncInterval.
const (
	manyStateChanges      = 16
	minSyncProbeIntervals = 3
)

// minSyncInterval returns the shortest time between two syncs.
func (n *Nodes) minSyncInterval() time.Duration {
	return min(minSyncProbeIntervals*n.options.ProbeInterval, n.options.SyncInterval)
}

// differingBuckets returns the entries of each bucket whose digest differs, or of all
// buckets if the number of digests is wrong.
func (n *Nodes) differingBuckets(digests []uint64) [DigestBuckets][]Member {
	var buckets [DigestBuckets][]Member
	for _, member := range n.Table() {
		bucket := bucketOf(member.ID)
		buckets[bucket] = append(buckets[bucket], member)
	}
	if len(digests) != DigestBuckets {
		return buckets
	}
	own := n.digests()
	for bucket := range buckets {
		if own[bucket] == digests[bucket] {
			buckets[bucket] = nil
		}
	}
	return buckets
}

// completeSync applies the entries of a reply, and requests the next buckets while the
// node is joining.
func (n *Nodes) completeSync(now time.Duration, pending pendingRequest, result Result) []Request {
	if result.Failed {
		return nil
	}
	if pending.firstBucket == 0 {
		n.insertedBeforePass = n.inserted
	}
	changesBefore := n.stateChanges
	n.mergeMessage(now, result.Responder, result.Updates, fromSync)
	if n.stateChanges-changesBefore >= manyStateChanges || n.inserted > n.insertedBeforePass {
		n.syncBackoff = n.minSyncInterval()
		n.nextSync = min(n.nextSync, now+n.jittered(n.syncBackoff))
	}
	n.syncBucket = result.NextBucket
	if !result.More {
		n.syncBucket = 0
		n.finishPass()
		return nil
	}
	if n.joined || result.Responder.ID != pending.to {
		return nil
	}
	return []Request{n.newSync(result.Responder, result.NextBucket)}
}

// finishPass ends a pass of syncs over all buckets. The node has joined if the pass
// found no new member.
func (n *Nodes) finishPass() {
	if n.joined || n.inserted != n.insertedBeforePass {
		return
	}
	n.joined = true
	n.version++
}

// Joined reports whether a full table sync with another node has found no new member.
// Until then the table may lack most nodes.
func (n *Nodes) Joined() bool { return n.joined }

// continueJoin starts a sync unless the node has joined or a sync is pending.
func (n *Nodes) continueJoin() []Request {
	if n.joined || n.hasPendingSync() {
		return nil
	}
	return n.startSync()
}

func (n *Nodes) hasPendingSync() bool {
	for _, pending := range n.pending {
		if pending.kind == Sync {
			return true
		}
	}
	return false
}

// ListedNode is a node on the machine list.
type ListedNode struct {
	ID      string
	Address string
	Zone    string
}

// ObserveList processes the live nodes on the machine list. The list is a hint: it may
// be stale, name dead nodes and lack new ones. It therefore neither adds nor removes
// members and only determines which nodes to contact. An empty list is ignored.
func (n *Nodes) ObserveList(nodes []ListedNode) {
	if len(nodes) == 0 {
		return
	}
	listed := make(map[string]ListedNode, len(nodes))
	for _, node := range nodes {
		listed[node.ID] = node
	}
	for _, id := range n.ids {
		_, ok := listed[id]
		n.entries[id].listed = ok
	}
	before := maps.Clone(n.candidates)
	clear(n.candidates)
	for _, node := range nodes[:min(len(nodes), MaximumCandidates)] {
		// The list may name this node by another ID, such as its process name.
		own := node.ID == n.self.ID || node.Address == n.self.Address
		if _, known := n.entries[node.ID]; known || own {
			continue
		}
		candidate := Member{ID: node.ID, Address: node.Address, Zone: node.Zone, State: Live}
		if candidate.Valid() {
			n.candidates[node.ID] = candidate
		}
	}
	if !maps.Equal(before, n.candidates) {
		n.version++
	}
}

// Candidates returns the nodes known only from the machine list, sorted by ID.
func (n *Nodes) Candidates() []Member {
	candidates := make([]Member, 0, len(n.candidates))
	for _, candidate := range n.candidates {
		candidates = append(candidates, candidate)
	}
	slices.SortFunc(candidates, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return candidates
}

// ListedGone returns the gone members that the machine list still names as live, sorted
// by ID. This node may merely be isolated from them.
func (n *Nodes) ListedGone() []Member {
	var listed []Member
	for _, id := range n.ids {
		if known := n.entries[id]; known.member.State == Gone && known.listed {
			listed = append(listed, known.member)
		}
	}
	return listed
}

// joinContacts is the number of listed nodes that a joining node probes at once.
const joinContacts = 3

// reconnectInterval returns the time between two reconnect attempts, which is shorter
// until the node has joined.
func (n *Nodes) reconnectInterval() time.Duration {
	if n.joined {
		return n.options.ReconnectInterval
	}
	return n.options.ProbeInterval
}

// reconnect probes nodes known only from the machine list and gone members that may be
// live.
func (n *Nodes) reconnect() []Request {
	targets := n.reconnectTargets()
	count := 1
	if !n.joined {
		count = joinContacts
	}
	n.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	var requests []Request
	for _, target := range targets[:min(count, len(targets))] {
		request := n.newRequest(ReconnectProbe, target)
		request.Updates = n.payload(target.ID)
		requests = append(requests, request)
	}
	return requests
}

func (n *Nodes) reconnectTargets() []Member {
	var targets []Member
	liveAddresses := make(map[string]struct{}, len(n.ids)) // addresses of members that are not gone
	for _, id := range n.ids {
		known := n.entries[id]
		switch {
		case known.member.State != Gone:
			liveAddresses[known.member.Address] = struct{}{}
		case known.listed || n.options.ProbeGone:
			targets = append(targets, known.member)
		}
	}
	candidates := make([]string, 0, len(n.candidates))
	for id := range n.candidates {
		candidates = append(candidates, id)
	}
	slices.Sort(candidates)
	for _, id := range candidates {
		if _, known := liveAddresses[n.candidates[id].Address]; !known {
			targets = append(targets, n.candidates[id])
		}
	}
	return targets
}
