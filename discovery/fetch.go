package discovery

import (
	"context"
	"slices"
	"time"
)

const (
	// maxReadersTried bounds the readers that are asked for one reading.
	maxReadersTried = 2
	// peerStagger is the time after which the next of any nodes is asked beside one that
	// has not answered: ten round trips between zones. Of readers the next one would have
	// to tell all that it knows, so it is asked only once the one before has failed.
	peerStagger = 80 * time.Millisecond
	// avoidDuration is for how long a reader that did not help is passed over, so that the
	// next in order takes its duty, and maxAvoided the number of them: while the registry
	// is away none can help, and all would become readers.
	avoidDuration = 2 * time.Second
	maxAvoided    = 3
	// maxPeersTried and peersTimeout bound the nodes that are asked in one round while the
	// registry can't be read, and the time that this takes.
	maxPeersTried = 10
	peersTimeout  = 500 * time.Millisecond
)

// fetchFromReaders takes in what a reader of the registry believes. It fails when this node is a
// reader itself, or none of the readers has a fresh belief.
func (f *Follower) fetchFromReaders(ctx context.Context) error {
	if f.options.Fetcher == nil || !f.initialized && f.options.Nodes == nil {
		return ErrUnavailable
	}
	helped, failed := f.fetchFirst(ctx, f.orderedReaders(), f.options.FetchTimeout)
	for _, reader := range failed {
		f.avoided.add(time.Now(), reader)
	}
	if !helped {
		return ErrUnavailable
	}
	f.initialized = true
	return nil
}

// orderedReaders are the readers to ask, the one that helped last first: another one would
// have to tell more.
func (f *Follower) orderedReaders() []Node {
	readers := readersToAsk(f.options.NodeID, f.reliableNodes())
	moveToFront(readers, f.lastPublisher)
	return readers
}

// moveToFront puts a node first, if it is among the nodes.
func moveToFront(nodes []Node, id string) {
	place := slices.IndexFunc(nodes, func(n Node) bool { return n.ID == id })
	if place > 0 {
		nodes[0], nodes[place] = nodes[place], nodes[0]
	}
}

// reliableNodes lists the nodes that may have the duty to read for all: not those that failed in
// it of late.
func (f *Follower) reliableNodes() []Node {
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(f.knownNodes()), func(n Node) bool { return f.avoided.has(now, n.ID) })
}

// avoidList notes the readers that did not help; the zero value has none.
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

// fetchFromAnyPeer takes in what a node believes that hears the registry: it may turn some nodes
// away, the readers among them, while it serves the others.
func (f *Follower) fetchFromAnyPeer(ctx context.Context) bool {
	if f.options.Fetcher == nil || !f.initialized {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	helped, _ := f.fetchFirst(ctx, f.peerCandidates(), peerStagger)
	return helped
}

// peerCandidates draws the nodes to ask when no reader helps: the one that helped last, and in
// turn of those that try the registry first and of all, so that what one node hears
// spreads wherever that node stands in the order.
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

// interleave lists the nodes of two groups in turn.
func interleave(a, b []Node) []Node {
	all := make([]Node, 0, len(a)+len(b))
	for place := range max(len(a), len(b)) {
		if place < len(a) {
			all = append(all, a[place])
		}
		if place < len(b) {
			all = append(all, b[place])
		}
	}
	return all
}

// fetchResult is what a node that was asked answered.
type fetchResult struct {
	node        Node
	publication Publication
	err         error
}

// fetchFirst asks nodes in order, the next one as soon as one fails or has not answered for
// the time given, and takes in the first belief that is of use. It names those that failed.
func (f *Follower) fetchFirst(ctx context.Context, nodes []Node, stagger time.Duration) (helped bool, failed []string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan fetchResult, len(nodes))
	for waiting := nodes; len(failed) < len(nodes) && ctx.Err() == nil; {
		if len(waiting) > 0 {
			f.fetchAsync(ctx, waiting[0], answers)
			waiting = waiting[1:]
		}
		answer, answered := awaitResult(ctx, answers, stagger)
		if !answered {
			continue
		}
		err := answer.err
		if err == nil {
			err = f.adoptPublication(answer.node.ID, answer.publication)
		}
		if err == nil {
			return true, failed
		}
		f.options.Logger.Debug().Err(err).Str("asked", answer.node.ID).Msg("node did not help")
		failed = append(failed, answer.node.ID)
	}
	return false, failed
}

// awaitResult returns the next answer, unless none comes for the time given.
func awaitResult(ctx context.Context, answers <-chan fetchResult, within time.Duration) (answer fetchResult, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	select {
	case answer = <-answers:
		return answer, true
	case <-ctx.Done():
		return fetchResult{}, false
	}
}

// fetchAsync asks a node what it believes.
func (f *Follower) fetchAsync(ctx context.Context, node Node, answers chan<- fetchResult) {
	inquiry := PublicationRequest{Known: f.cursorFor(node.ID), Position: f.knownPosition(), MaxAge: f.options.StaleAfter}
	go func() {
		asking, cancel := context.WithTimeout(ctx, f.options.FetchTimeout)
		defer cancel()
		publication, err := f.options.Fetcher.Fetch(asking, node.Peer, inquiry)
		answers <- fetchResult{node: node, publication: publication, err: err}
	}()
}

// knownPosition is up to where this node knows the registry.
func (f *Follower) knownPosition() Position {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.position
}

// cursorFor is the mark to go on from with a reader: there is none unless all that is
// believed came from that reader last. What another reader or the registry told
// may lack what this reader has kept all the time.
func (f *Follower) cursorFor(reader string) Cursor {
	if f.lastPublisher != reader {
		return Cursor{}
	}
	return f.cursor
}
