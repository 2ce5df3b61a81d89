package discovery

import (
	"slices"
	"time"
)

// Every call to the registry counts against its rate limit, including rejected ones, and while no
// reader has a fresh view every node would want to read the registry itself. Nodes therefore try in
// order of rank: the first one that the registry serves publishes to all others.
const (
	// earlyReaders is the number of nodes that try early. It is rare that the registry rejects
	// more nodes than that while it serves others.
	earlyReaders = 20
	// earlyReaderShare is the share of PollInterval within which all early readers have tried.
	// It is what remains of the staleness bound after the time for a reader's view to become
	// stale, for two readers to time out, and for the read itself.
	earlyReaderShare = 0.15
	// laterReaderStep is the delay between two nodes after the early readers.
	laterReaderStep = 100 * time.Millisecond
	// earlyRetryInterval and laterRetryInterval are the times after which an early node and a
	// later one that failed may try again. The nodes of selectReaders do so after each retryPause.
	earlyRetryInterval = 2 * time.Second
	laterRetryInterval = 10 * time.Second
	// turnCheckInterval is the time between two checks whether it is this node's turn or
	// another node has a fresh view.
	turnCheckInterval = 200 * time.Millisecond
	// aloneTimeout is how long after its start a node that knows no other node, but has a fresh
	// view, waits to learn of others before it reads the registry itself.
	aloneTimeout = 2 * time.Second
)

// readTurn records since when a node has had no fresh view, and when it last tried to read.
type readTurn struct{ staleSince, triedAt time.Time }

func (t *readTurn) reset() { *t = readTurn{} }

func (t *readTurn) recordAttempt(now time.Time) { t.triedAt = now }

// mayRead reports whether this node may read the registry now.
func (f *Follower) mayRead() bool {
	now := time.Now()
	if f.turn.staleSince.IsZero() {
		f.turn.staleSince = now
	}
	if f.options.Nodes == nil || !f.initialized {
		return true
	}
	nodes := f.options.Nodes()
	if len(nodes) <= 1 {
		age, _ := f.Age()
		return f.now() >= aloneTimeout || age > f.options.StaleAfter
	}
	reliable := rankNodes(f.reliableNodes())
	rank := slices.IndexFunc(reliable, func(n Node) bool { return n.ID == f.options.NodeID })
	if rank < len(selectReaders(reliable)) {
		return true
	}
	wait, retryAfter := f.readDelay(rank)
	return now.Sub(f.turn.staleSince) >= wait && (f.turn.triedAt.IsZero() || now.Sub(f.turn.triedAt) >= retryAfter)
}

// readDelay returns how long a node of a given rank waits for others, and when it may try again.
func (f *Follower) readDelay(rank int) (wait, retryAfter time.Duration) {
	slack := time.Duration(earlyReaderShare * float64(f.options.PollInterval))
	if rank < earlyReaders {
		return slack * time.Duration(rank) / earlyReaders, earlyRetryInterval
	}
	return slack + time.Duration(rank-earlyReaders)*laterReaderStep, laterRetryInterval
}
