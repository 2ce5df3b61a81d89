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
	// coldShareHold is how long a node that begins to serve callers keeps its smaller part
	// of what cold servers bear: all nodes see who serves within that time.
	coldShareHold = 3 * time.Second
)

// ColdOptions bounds what a cold server gets in a second from all nodes together, as
// Overshoot times its service's rate and Slack.
type ColdOptions struct{ Overshoot, Slack float64 }

// updateWarmup takes what a server's entry says of its warm-up. It counts down by itself,
// and the same entry is listed again and again: only one that says something else counts.
func (s *server) updateWarmup(now time.Duration, listed discovery.Server, known bool) {
	if !known || listed.ColdFor != s.ColdFor {
		s.SetColdUntil(now + listed.ColdFor)
	}
}

// coldLimitAllows reports whether a server may get one more request from this node now. While
// it is cold, all nodes together must stay within what it bears, or it falls over, and
// they don't know each other's spending.
func (r *Router) coldLimitAllows(s *service, srv *server) bool {
	if s.coldRate == 0 || !srv.Cold(r.now) {
		return true
	}
	if r.options.Restarted && r.now < r.startedAt+coldWindow {
		return false // an earlier incarnation may have spent this second's part
	}
	bound := s.coldRate*r.options.Cold.Overshoot + r.options.Cold.Slack
	part := r.shares.IntPortion(r.now, bound, coldShareHold, xxhash.Sum64String(srv.ID))
	return srv.coldSends.UpperBound(r.now, coldWindow) < part
}

// countColdSend counts a send to a cold server.
func (r *Router) countColdSend(srv *server) {
	if srv.Cold(r.now) {
		srv.coldSends.Add(r.now, coldWindow, 1)
	}
}

// coldRetryInterval is the time after which parts that wait for cold servers are looked at again.
func coldRetryInterval() time.Duration { return extrabudget.BucketWidth(coldWindow) }
