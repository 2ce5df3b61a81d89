package discovery

import (
	"context"
	"slices"
	"time"
)

const (
	// maxReadersTried is the maximum number of readers tried per update.
	maxReadersTried = 2
	// peerStagger is the time after which the next peer is tried in parallel with one that has
	// not answered: ten round trips between zones. Among readers the next one would have to
	// send its complete state, so it is tried only after the previous one has failed.
	peerStagger = 80 * time.Millisecond
	// avoidDuration is how long a reader that failed to help is avoided, so that the next node
	// in rank takes over, and maxAvoided the maximum number of avoided readers: while the
	// registry is unavailable no reader can help, and all nodes would become readers.
	avoidDuration = 2 * time.Second
	maxAvoided    = 3
	// maxPeersTried and peersTimeout limit the peers tried and the time spent in one round
	// while the registry cannot be read.
	maxPeersTried = 10
	peersTimeout  = 500 * time.Millisecond
)

// fetchFromReaders fetches and applies the publication of a reader. It fails when this node is a
// reader itself, or when no reader has a fresh view.
func (f *Follower) fetchFromReaders(ctx context.Context) error {
	if f.options.Fetcher == nil || !f.initialized && f.options.Nodes == nil {
		return ErrUnavailable
	}
	ok, failed := f.fetchFirst(ctx, f.orderedReaders(), f.options.FetchTimeout)
	for _, reader := range failed {
		f.avoided.add(time.Now(), reader)
	}
	if !ok {
		return ErrUnavailable
	}
	f.initialized = true
	return nil
}

// orderedReaders returns the readers to fetch from, the last successful one first: another one
// would have to send its complete state.
func (f *Follower) orderedReaders() []Node {
	readers := readersToFetchFrom(f.options.NodeID, f.reliableNodes())
	moveToFront(readers, f.lastPublisher)
	return readers
}

// moveToFront swaps the node with the given ID, if present, with the first one.
func moveToFront(nodes []Node, id string) {
	index := slices.IndexFunc(nodes, func(n Node) bool { return n.ID == id })
	if index > 0 {
		nodes[0], nodes[index] = nodes[index], nodes[0]
	}
}

// reliableNodes returns the nodes that can be readers, without those that recently failed to
// help.
func (f *Follower) reliableNodes() []Node {
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(f.knownNodes()), func(n Node) bool { return f.avoided.has(now, n.ID) })
}

// avoidList holds the readers that failed to help; the zero value is empty.
type avoidList [maxAvoided]struct {
	id    string
	until time.Time
}

func (a *avoidList) add(now time.Time, id string) {
	for i := range a {
		if a[i].until.Before(now) || a[i].id == id {
			a[i].id, a[i].until = id, now.Add(avoidDuration)
			return
		}
	}
}

func (a *avoidList) has(now time.Time, id string) bool {
	for _, one := range a {
		if one.id == id && now.Before(one.until) {
			return true
		}
	}
	return false
}

// fetchFromAnyPeer fetches from any node that is in contact with the registry: the registry may
// reject some nodes, including the readers, while it serves others.
func (f *Follower) fetchFromAnyPeer(ctx context.Context) bool {
	if f.options.Fetcher == nil || !f.initialized {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	ok, _ := f.fetchFirst(ctx, f.peerCandidates(), peerStagger)
	return ok
}

// peerCandidates selects the nodes to try when no reader helps: first the last successful one, then
// alternately random nodes from the early readers and from all others, so that the state of a single
// synced node spreads whatever its rank.
func (f *Follower) peerCandidates() []Node {
	ranked := rankNodes(f.knownNodes())
	ranked = slices.DeleteFunc(ranked, func(n Node) bool { return n.ID == f.options.NodeID })
	first, others := ranked[:min(len(ranked), earlyReaders)], ranked[min(len(ranked), earlyReaders):]
	f.shuffle(first)
	f.shuffle(others)
	drawn := interleave(first, others)
	moveToFront(drawn, f.lastPublisher)
	return drawn[:min(len(drawn), maxPeersTried)]
}

func (f *Follower) shuffle(nodes []Node) {
	f.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
}

// interleave merges two groups of nodes, alternating between them.
func interleave(a, b []Node) []Node {
	all := make([]Node, 0, len(a)+len(b))
	for index := range max(len(a), len(b)) {
		if index < len(a) {
			all = append(all, a[index])
		}
		if index < len(b) {
			all = append(all, b[index])
		}
	}
	return all
}

// fetchResult is the result of a fetch from one node.
type fetchResult struct {
	node        Node
	publication Publication
	err         error
}

// fetchFirst tries nodes in order, the next one as soon as one fails or has not answered within
// stagger, and applies the first usable publication. It returns the IDs of those that failed.
func (f *Follower) fetchFirst(ctx context.Context, nodes []Node, stagger time.Duration) (ok bool, failed []string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan fetchResult, len(nodes))
	for remaining := nodes; len(failed) < len(nodes) && ctx.Err() == nil; {
		if len(remaining) > 0 {
			f.fetchAsync(ctx, remaining[0], results)
			remaining = remaining[1:]
		}
		result, arrived := awaitResult(ctx, results, stagger)
		if !arrived {
			continue
		}
		err := result.err
		if err == nil {
			err = f.adoptPublication(result.node.ID, result.publication)
		}
		if err == nil {
			return true, failed
		}
		f.options.Logger.Debug().Err(err).Str("asked", result.node.ID).Msg("fetch from node failed")
		failed = append(failed, result.node.ID)
	}
	return false, failed
}

// awaitResult returns the next result, unless none arrives in time.
func awaitResult(ctx context.Context, results <-chan fetchResult, timeout time.Duration) (result fetchResult, arrived bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case result = <-results:
		return result, true
	case <-ctx.Done():
		return fetchResult{}, false
	}
}

// fetchAsync starts a fetch from a node.
func (f *Follower) fetchAsync(ctx context.Context, node Node, results chan<- fetchResult) {
	request := PublicationRequest{Known: f.cursorFor(node.ID), Position: f.knownPosition(), MaxAge: f.options.StaleAfter}
	go func() {
		fetchCtx, cancel := context.WithTimeout(ctx, f.options.FetchTimeout)
		defer cancel()
		publication, err := f.options.Fetcher.Fetch(fetchCtx, node.Peer, request)
		results <- fetchResult{node: node, publication: publication, err: err}
	}()
}

// knownPosition returns the position up to which this node knows the registry.
func (f *Follower) knownPosition() Position {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.position
}

// cursorFor returns the cursor from which a reader can send changes. It is empty unless the whole
// state came from that reader last: state from another reader or from the registry may lack
// entries that this reader has retained and would not send again.
func (f *Follower) cursorFor(reader string) Cursor {
	if f.lastPublisher != reader {
		return Cursor{}
	}
	return f.cursor
}
