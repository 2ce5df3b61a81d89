package discovery

import (
	"context"
	"slices"
	"time"
)

const (
	// publishersTried bounds the readers that are asked for one reading.
	publishersTried = 2
	// anyoneStagger is the time after which the next of any nodes is asked beside one that
	// has not answered: ten round trips between zones. Of readers the next one would have
	// to tell all that it knows, so it is asked only once the one before has failed.
	anyoneStagger = 80 * time.Millisecond
	// avoidedTime is for how long a reader that did not help is passed over, so that the
	// next in order takes its duty, and mostAvoided the number of them: while the registry
	// is away none can help, and all would become readers.
	avoidedTime = 2 * time.Second
	mostAvoided = 3
	// anyoneTried and anyoneTime bound the nodes that are asked in one round while the
	// registry can't be read, and the time that this takes.
	anyoneTried = 10
	anyoneTime  = 500 * time.Millisecond
)

// relayed takes in what a reader of the registry believes. It fails when this node is a
// reader itself, or none of the readers has a fresh belief.
func (f *Follower) relayed(ctx context.Context) error {
	if f.options.Fetcher == nil || !f.listed && f.options.Nodes == nil {
		return ErrUnavailable
	}
	helped, failed := f.askFirst(ctx, f.readersInTurn(), f.options.FetchTimeout)
	for _, reader := range failed {
		f.avoided.add(time.Now(), reader)
	}
	if !helped {
		return ErrUnavailable
	}
	f.listed = true
	return nil
}

// readersInTurn are the readers to ask, the one that helped last first: another one would
// have to tell more.
func (f *Follower) readersInTurn() []Node {
	readers := readersFor(f.options.NodeID, f.relied())
	lead(readers, f.helped)
	return readers
}

// lead puts a node first, if it is among the nodes.
func lead(nodes []Node, id string) {
	place := slices.IndexFunc(nodes, func(n Node) bool { return n.ID == id })
	if place > 0 {
		nodes[0], nodes[place] = nodes[place], nodes[0]
	}
}

// relied lists the nodes that may have the duty to read for all: not those that failed in
// it of late.
func (f *Follower) relied() []Node {
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(f.peers()), func(n Node) bool { return f.avoided.has(now, n.ID) })
}

// avoided notes the readers that did not help; the zero value has none.
type avoided [mostAvoided]struct {
	id    string
	until time.Time
}

func (a *avoided) add(now time.Time, id string) {
	for i := range a {
		if a[i].until.Before(now) || a[i].id == id {
			a[i].id, a[i].until = id, now.Add(avoidedTime)
			return
		}
	}
}

func (a *avoided) has(now time.Time, id string) bool {
	for _, one := range a {
		if one.id == id && now.Before(one.until) {
			return true
		}
	}
	return false
}

// askAnyone takes in what a node believes that hears the registry: it may turn some nodes
// away, the readers among them, while it serves the others.
func (f *Follower) askAnyone(ctx context.Context) bool {
	if f.options.Fetcher == nil || !f.listed {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, anyoneTime)
	defer cancel()
	helped, _ := f.askFirst(ctx, f.anyone(), anyoneStagger)
	return helped
}

// anyone draws the nodes to ask when no reader helps: the one that helped last, and in
// turn of those that try the registry first and of all, so that what one node hears
// spreads wherever that node stands in the order.
func (f *Follower) anyone() []Node {
	ranked := rankNodes(f.peers())
	ranked = slices.DeleteFunc(ranked, func(n Node) bool { return n.ID == f.options.NodeID })
	first, others := ranked[:min(len(ranked), scouts)], ranked[min(len(ranked), scouts):]
	f.shuffle(first)
	f.shuffle(others)
	drawn := alternate(first, others)
	lead(drawn, f.helped)
	return drawn[:min(len(drawn), anyoneTried)]
}

func (f *Follower) shuffle(nodes []Node) {
	f.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
}

// alternate lists the nodes of two groups in turn.
func alternate(a, b []Node) []Node {
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

// told is what a node that was asked answered.
type told struct {
	node        Node
	publication Publication
	err         error
}

// askFirst asks nodes in order, the next one as soon as one fails or has not answered for
// the time given, and takes in the first belief that is of use. It names those that failed.
func (f *Follower) askFirst(ctx context.Context, nodes []Node, stagger time.Duration) (helped bool, failed []string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan told, len(nodes))
	for waiting := nodes; len(failed) < len(nodes) && ctx.Err() == nil; {
		if len(waiting) > 0 {
			f.askInBackground(ctx, waiting[0], answers)
			waiting = waiting[1:]
		}
		answer, answered := awaitAnswer(ctx, answers, stagger)
		if !answered {
			continue
		}
		err := answer.err
		if err == nil {
			err = f.takePublication(answer.node.ID, answer.publication)
		}
		if err == nil {
			return true, failed
		}
		f.options.Logger.Debug().Err(err).Str("asked", answer.node.ID).Msg("node did not help")
		failed = append(failed, answer.node.ID)
	}
	return false, failed
}

// awaitAnswer returns the next answer, unless none comes for the time given.
func awaitAnswer(ctx context.Context, answers <-chan told, within time.Duration) (answer told, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	select {
	case answer = <-answers:
		return answer, true
	case <-ctx.Done():
		return told{}, false
	}
}

// askInBackground asks a node what it believes.
func (f *Follower) askInBackground(ctx context.Context, node Node, answers chan<- told) {
	inquiry := PublicationRequest{Known: f.markOf(node.ID), Position: f.known(), MaxAge: f.options.StaleAfter}
	go func() {
		asking, cancel := context.WithTimeout(ctx, f.options.FetchTimeout)
		defer cancel()
		publication, err := f.options.Fetcher.Fetch(asking, node.Peer, inquiry)
		answers <- told{node: node, publication: publication, err: err}
	}()
}

// known is up to where this node knows the registry.
func (f *Follower) known() Position {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.position
}

// markOf is the mark to go on from with a reader: there is none unless all that is
// believed came from that reader last. What another reader or the registry told
// may lack what this reader has kept all the time.
func (f *Follower) markOf(reader string) Cursor {
	if f.helped != reader {
		return Cursor{}
	}
	return f.mark
}
