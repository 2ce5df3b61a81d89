package extrabudget

import "time"

const (
	// nodeRetention is how long nodes that are not seen any more still count for
	// what all nodes share: their entries may only have lapsed, and shares that grow
	// at once on all nodes would add up to more than there is.
	nodeRetention = 30 * time.Second
	// nonServingShare is the part of a whole that the nodes share to which callers are
	// not sent.
	nonServingShare = 0.15
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
	live, serving, nonServing recentMax
	index                     int
	// isServing says that callers are sent to this node, since the time given.
	isServing    bool
	servingSince time.Duration
	initialized  bool
}

// recentMax is about the greatest of the latest values.
type recentMax struct {
	value int
	at    time.Duration
}

func (m *recentMax) observe(now time.Duration, value int) {
	if value >= m.value || now-m.at > nodeRetention {
		m.value, m.at = value, now
	}
}

// Update notes the nodes that are there at now. The first word about them is no change of
// roles.
func (s *Shares) Update(now time.Duration, nodes Nodes) {
	s.live.observe(now, nodes.Live)
	s.serving.observe(now, nodes.Serving)
	s.nonServing.observe(now, nodes.Live-nodes.Serving)
	if nodes.IsServing && !s.isServing && s.initialized {
		s.servingSince = now
	}
	s.isServing, s.index = nodes.IsServing, nodes.Index
	s.initialized = true
}

// ServingNodes is about the greatest number of nodes that served callers of late; zero when
// nothing is known.
func (s *Shares) ServingNodes() int { return s.serving.value }

// Portion is the node's part of a whole that is counted over a window.
func (s *Shares) Portion(now time.Duration, whole float64, window time.Duration) float64 {
	part, nodes := s.rolePortion(now, whole, window)
	if nodes == 0 {
		return 0
	}
	return part / float64(nodes)
}

// IntPortion is the node's part of a whole number: what does not divide evenly falls to
// some of the nodes, to others for another salt.
func (s *Shares) IntPortion(now time.Duration, whole float64, window time.Duration, salt uint64) int {
	part, nodes := s.rolePortion(now, usableShare*whole, window)
	if nodes == 0 {
		return 0
	}
	count := int(part) / nodes
	if place := (uint64(s.index) + salt%uint64(nodes)) % uint64(nodes); place < uint64(int(part)%nodes) {
		count++
	}
	return count
}

// rolePortion is the part of a whole that nodes of this one's role share, and their number.
func (s *Shares) rolePortion(now time.Duration, whole float64, window time.Duration) (part float64, nodes int) {
	established := s.isServing && (s.servingSince == 0 || now-s.servingSince >= window)
	switch {
	case s.live.value == 0 || s.serving.value == 0:
		return 0, 0
	case s.nonServing.value == 0:
		return whole, s.live.value
	case established:
		return whole * (1 - nonServingShare), s.serving.value
	default:
		return whole * nonServingShare, s.nonServing.value
	}
}
