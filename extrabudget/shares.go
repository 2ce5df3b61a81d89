package extrabudget

import "time"

const (
	// nodesForgotten is how long nodes that are not seen any more still count for
	// what all nodes share: their entries may only have lapsed, and shares that grow
	// at once on all nodes would add up to more than there is.
	nodesForgotten = 30 * time.Second
	// otherNodesShare is the part of a whole that the nodes share to which callers are
	// not sent.
	otherNodesShare = 0.15
)

// Nodes tells of the nodes that share a whole, this one included.
type Nodes struct {
	// Live is the number of all nodes, Serving that of those to which callers are sent.
	Live, Serving int
	// IsServing says that callers are sent to this node.
	IsServing bool
	// Index is this node's among the nodes that serve, or among the others; it counts
	// from 0, and all nodes that see the same members have different ones.
	Index int
}

// Shares is one node's part of what all nodes share; the zero value knows no node, and
// has none.
//
// Invariant: the parts that all nodes may spend within one window add up to no more than
// the whole, as nodes come, go and change their roles, provided that they see such a
// change within a window of each other. A node that begins to serve callers therefore
// takes the part of one that does not for a window: those that served before it may have
// spent theirs.
type Shares struct {
	live, serving, others recentMost
	place                 int
	// serves says that callers are sent to this node, since the time given.
	serves      bool
	servesSince time.Duration
	known       bool
}

// recentMost is about the greatest of the latest values.
type recentMost struct {
	value int
	at    time.Duration
}

func (m *recentMost) take(now time.Duration, value int) {
	if value >= m.value || now-m.at > nodesForgotten {
		m.value, m.at = value, now
	}
}

// Update notes the nodes that are there at now. The first word about them is no change of
// roles.
func (s *Shares) Update(now time.Duration, nodes Nodes) {
	s.live.take(now, nodes.Live)
	s.serving.take(now, nodes.Serving)
	s.others.take(now, nodes.Live-nodes.Serving)
	if nodes.IsServing && !s.serves && s.known {
		s.servesSince = now
	}
	s.serves, s.place = nodes.IsServing, nodes.Index
	s.known = true
}

// ServingNodes is about the greatest number of nodes that served callers of late; zero when
// nothing is known.
func (s *Shares) ServingNodes() int { return s.serving.value }

// Portion is the node's part of a whole that is counted over a window.
func (s *Shares) Portion(now time.Duration, whole float64, window time.Duration) float64 {
	part, nodes := s.group(now, whole, window)
	if nodes == 0 {
		return 0
	}
	return part / float64(nodes)
}

// IntPortion is the node's part of a whole number: what does not divide evenly falls to
// some of the nodes, to others for another salt.
func (s *Shares) IntPortion(now time.Duration, whole float64, window time.Duration, salt uint64) int {
	part, nodes := s.group(now, margin*whole, window)
	if nodes == 0 {
		return 0
	}
	count := int(part) / nodes
	if place := (uint64(s.place) + salt%uint64(nodes)) % uint64(nodes); place < uint64(int(part)%nodes) {
		count++
	}
	return count
}

// group is the part of a whole that nodes of this one's role share, and their number.
func (s *Shares) group(now time.Duration, whole float64, window time.Duration) (part float64, nodes int) {
	established := s.serves && (s.servesSince == 0 || now-s.servesSince >= window)
	switch {
	case s.live.value == 0 || s.serving.value == 0:
		return 0, 0
	case s.others.value == 0:
		return whole, s.live.value
	case established:
		return whole * (1 - otherNodesShare), s.serving.value
	default:
		return whole * otherNodesShare, s.others.value
	}
}
