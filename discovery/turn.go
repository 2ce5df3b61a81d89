package discovery

import (
	"slices"
	"time"
)

// A call to the registry is charged for, also one that is refused, and while no reader
// has a fresh belief every node would like to read for itself. So they try one after the
// other, in the order in which duties fall to them: the first that the registry serves
// helps all others.
const (
	// earlyReaders is the number of nodes that try soon; more than that are seldom turned away
	// while others are served.
	earlyReaders = 20
	// earlyReaderShare is the part of Pace after which the last scout has tried: it is what is
	// left of the bounds beside a reader's belief that has become old, two readers that
	// are silent, and the reading itself.
	earlyReaderShare = 0.15
	// laterReaderStep is the time between two of the other nodes.
	laterReaderStep = 100 * time.Millisecond
	// earlyRetryInterval and laterRetryInterval are the times until a node that has failed may try again;
	// a reader does so after each retryPause.
	earlyRetryInterval = 2 * time.Second
	laterRetryInterval = 10 * time.Second
	// turnCheckInterval is the time between two looks at whether it is this node's turn, or
	// another node has a fresh belief.
	turnCheckInterval = 200 * time.Millisecond
	// aloneTimeout is how long a node that knows no other one after its start waits for
	// word of them, if it has a fresh belief, before it reads for itself.
	aloneTimeout = 2 * time.Second
)

// readTurn tells for how long a node has found no fresh belief, and when it tried itself.
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
	relied := rankNodes(f.reliableNodes())
	rank := slices.IndexFunc(relied, func(n Node) bool { return n.ID == f.options.NodeID })
	if rank < len(selectReaders(relied)) {
		return true
	}
	wait, again := f.readDelay(rank)
	return now.Sub(f.turn.staleSince) >= wait && (f.turn.triedAt.IsZero() || now.Sub(f.turn.triedAt) >= again)
}

// readDelay is how long a node of a rank waits for the others, and until it tries again.
func (f *Follower) readDelay(rank int) (wait, again time.Duration) {
	slack := time.Duration(earlyReaderShare * float64(f.options.PollInterval))
	if rank < earlyReaders {
		return slack * time.Duration(rank) / earlyReaders, earlyRetryInterval
	}
	return slack + time.Duration(rank-earlyReaders)*laterReaderStep, laterRetryInterval
}
