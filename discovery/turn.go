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
	// scouts is the number of nodes that try soon; more than that are seldom turned away
	// while others are served.
	scouts = 20
	// scoutShare is the part of Pace after which the last scout has tried: it is what is
	// left of the bounds beside a reader's belief that has become old, two readers that
	// are silent, and the reading itself.
	scoutShare = 0.15
	// turnStep is the time between two of the other nodes.
	turnStep = 100 * time.Millisecond
	// scoutAgain and othersAgain are the times until a node that has failed may try again;
	// a reader does so after each retryPause.
	scoutAgain  = 2 * time.Second
	othersAgain = 10 * time.Second
	// turnPause is the time between two looks at whether it is this node's turn, or
	// another node has a fresh belief.
	turnPause = 200 * time.Millisecond
	// aloneTime is how long a node that knows no other one after its start waits for
	// word of them, if it has a fresh belief, before it reads for itself.
	aloneTime = 2 * time.Second
)

// turn tells for how long a node has found no fresh belief, and when it tried itself.
type turn struct{ unhelpedSince, triedAt time.Time }

func (t *turn) helped() { *t = turn{} }

func (t *turn) tried(now time.Time) { t.triedAt = now }

// mayRead reports whether this node may read the registry now.
func (f *Follower) mayRead() bool {
	now := time.Now()
	if f.turn.unhelpedSince.IsZero() {
		f.turn.unhelpedSince = now
	}
	if f.options.Nodes == nil || !f.listed {
		return true
	}
	nodes := f.options.Nodes()
	if len(nodes) <= 1 {
		age, _ := f.Age()
		return f.now() >= aloneTime || age > f.options.StaleAfter
	}
	relied := rankNodes(f.relied())
	rank := slices.IndexFunc(relied, func(n Node) bool { return n.ID == f.options.NodeID })
	if rank < len(readersOf(relied)) {
		return true
	}
	wait, again := f.turnOf(rank)
	return now.Sub(f.turn.unhelpedSince) >= wait && (f.turn.triedAt.IsZero() || now.Sub(f.turn.triedAt) >= again)
}

// turnOf is how long a node of a rank waits for the others, and until it tries again.
func (f *Follower) turnOf(rank int) (wait, again time.Duration) {
	slack := time.Duration(scoutShare * float64(f.options.PollInterval))
	if rank < scouts {
		return slack * time.Duration(rank) / scouts, scoutAgain
	}
	return slack + time.Duration(rank-scouts)*turnStep, othersAgain
}
