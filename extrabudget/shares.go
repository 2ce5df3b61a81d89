package extrabudget

import "time"

const (
	// nodeRetention is how long nodes that have disappeared still count when a total
	// is divided. Their registry entries may merely have expired while they still run,
	// and portions that grew on all nodes at once would exceed the total.
	nodeRetention = 30 * time.Second
	// nonServingShare is the part of a total that is divided among the non-serving
	// nodes.
	nonServingShare = 0.15
)

// Nodes describes the nodes among which totals are divided, including this one. Serving
// nodes are those to which callers are sent.
type Nodes struct {
	// Live is the number of all nodes, Serving the number of serving nodes.
	Live, Serving int
	// IsServing is set if this node is a serving node.
	IsServing bool
	// Index is the zero-based position of this node among the nodes with the same
	// role. It is unique among nodes that see the same members.
	Index int
}

// Shares computes one node's portion of cluster-wide totals. The zero value knows no nodes
// and returns zero portions.
//
// Invariant: the portions that all nodes use within one window do not exceed the total,
// even if nodes join, leave or change roles, provided that all nodes see such a change
// within one window of each other. For this reason a node that becomes a serving node keeps
// a non-serving node's portion for one window: the nodes that served before may have used
// theirs already.
type Shares struct {
	live, serving, nonServing recentMax
	index                     int
	// isServing is set if this node is a serving node, and servingSince is when it became
	// one; zero if it was one from the first Update.
	isServing    bool
	servingSince time.Duration
	initialized  bool
}

// recentMax approximates the maximum of the values observed within nodeRetention.
type recentMax struct {
	value int
	at    time.Duration
}

func (m *recentMax) observe(now time.Duration, value int) {
	if value >= m.value || now-m.at > nodeRetention {
		m.value, m.at = value, now
	}
}

// Update records the nodes known at now. The first call does not count as a change of role.
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

// ServingNodes returns the approximate maximum of the recent numbers of serving nodes; zero
// before the first Update.
func (s *Shares) ServingNodes() int { return s.serving.value }

// Portion returns this node's portion of a total that is counted over a window.
func (s *Shares) Portion(now time.Duration, total float64, window time.Duration) float64 {
	portion, nodes := s.rolePortion(now, total, window)
	if nodes == 0 {
		return 0
	}
	return portion / float64(nodes)
}

// IntPortion returns this node's portion of a total as an integer, after the safety margin.
// The remainder of the division goes to some of the nodes, selected by salt.
func (s *Shares) IntPortion(now time.Duration, total float64, window time.Duration, salt uint64) int {
	portion, nodes := s.rolePortion(now, usableShare*total, window)
	if nodes == 0 {
		return 0
	}
	count := int(portion) / nodes
	if index := (uint64(s.index) + salt%uint64(nodes)) % uint64(nodes); index < uint64(int(portion)%nodes) {
		count++
	}
	return count
}

// rolePortion returns the part of a total that is divided among the nodes with this node's
// role, and the number of those nodes.
func (s *Shares) rolePortion(now time.Duration, total float64, window time.Duration) (portion float64, nodes int) {
	established := s.isServing && (s.servingSince == 0 || now-s.servingSince >= window)
	switch {
	case s.live.value == 0 || s.serving.value == 0:
		return 0, 0
	case s.nonServing.value == 0:
		return total, s.live.value
	case established:
		return total * (1 - nonServingShare), s.serving.value
	default:
		return total * nonServingShare, s.nonServing.value
	}
}
