package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/extrabudget"
)

const (
	// coldWindow is the span in which a cold server bears so many requests.
	coldWindow = time.Second
	// coldRoleTime is how long a node that begins to serve callers keeps its smaller part
	// of what cold servers bear: all nodes see who serves within that time.
	coldRoleTime = 3 * time.Second
)

// ColdOptions bounds what a cold server gets in a second from all nodes together, as
// Overshoot times its service's rate and Slack.
type ColdOptions struct{ Overshoot, Slack float64 }

// takeWarmup takes what a server's entry says of its warm-up. It counts down by itself,
// and the same entry is listed again and again: only one that says something else counts.
func (s *server) takeWarmup(now time.Duration, listed discovery.Server, known bool) {
	if !known || listed.ColdFor != s.ColdFor {
		s.SetColdUntil(now + listed.ColdFor)
	}
}

// bearsMore reports whether a server may get one more request from this node now. While
// it is cold, all nodes together must stay within what it bears, or it falls over, and
// they don't know each other's spending.
func (r *Router) bearsMore(s *service, one *server) bool {
	if s.coldRate == 0 || !one.Cold(r.now) {
		return true
	}
	if r.options.Restarted && r.now < r.startedAt+coldWindow {
		return false // an earlier incarnation may have spent this second's part
	}
	bound := s.coldRate*r.options.Cold.Overshoot + r.options.Cold.Slack
	part := r.shares.IntPortion(r.now, bound, coldRoleTime, xxhash.Sum64String(one.ID))
	return one.coldSends.UpperBound(r.now, coldWindow) < part
}

// countCold counts a send to a cold server.
func (r *Router) countCold(one *server) {
	if one.Cold(r.now) {
		one.coldSends.Add(r.now, coldWindow, 1)
	}
}

// coldRetry is the time after which parts that wait for cold servers are looked at again.
func coldRetry() time.Duration { return extrabudget.BucketWidth(coldWindow) }
