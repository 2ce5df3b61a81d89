package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/extrabudget"
)

const (
	// coldWindow is the window over which the rate limit of cold servers applies.
	coldWindow = time.Second
	// coldShareHold is how long a node that starts to serve callers keeps its smaller share of the
	// cold rate limit. Within that time, all nodes learn which nodes serve.
	coldShareHold = 3 * time.Second
)

// ColdOptions limits the requests per second that a cold server receives from all nodes together,
// to Overshoot times its service's cold rate plus Slack.
type ColdOptions struct{ Overshoot, Slack float64 }

// updateWarmup applies the remaining warm-up time of a server's registry entry. The time counts
// down locally and the same entry is listed repeatedly, so only a changed value counts.
func (s *server) updateWarmup(now time.Duration, listed discovery.Server, known bool) {
	if !known || listed.ColdFor != s.ColdFor {
		s.SetColdUntil(now + listed.ColdFor)
	}
}

// coldLimitAllows reports whether this node may send one more request to the server now. All nodes
// together must stay within what a cold server can handle, or it collapses, and they do not know
// how much the others send.
func (r *Router) coldLimitAllows(s *service, srv *server) bool {
	if s.coldRate == 0 || !srv.Cold(r.now) {
		return true
	}
	if r.options.Restarted && r.now < r.startedAt+coldWindow {
		return false // an earlier incarnation may have used up this window's share
	}
	bound := s.coldRate*r.options.Cold.Overshoot + r.options.Cold.Slack
	part := r.shares.IntPortion(r.now, bound, coldShareHold, xxhash.Sum64String(srv.ID))
	return srv.coldSends.UpperBound(r.now, coldWindow) < part
}

func (r *Router) countColdSend(srv *server) {
	if srv.Cold(r.now) {
		srv.coldSends.Add(r.now, coldWindow, 1)
	}
}

// coldRetryInterval is the interval at which parts queued for cold servers are retried.
func coldRetryInterval() time.Duration { return extrabudget.BucketWidth(coldWindow) }
