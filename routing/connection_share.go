package routing

import (
	"time"

	"github.com/banksail/banksail/limit"
	"github.com/banksail/banksail/mechanism"
)

// staleConnectionTime is how long servers may still count the connections of an earlier
// incarnation of this node whose machine lost power. Until then, this node uses half of its share.
const staleConnectionTime = 3 * time.Second

// connectionShare returns the number of connections that this node may open to each server of the
// service, which also limits its attempts in flight to that server.
func (r *Router) connectionShare(s *service) int {
	if s.connections == 0 || r.shares.ServingNodes() == 0 {
		return 1 // the limit or the number of nodes sharing it is unknown
	}
	share := limit.ConnectionShare(s.connections, r.shares.ServingNodes(), r.options.SpareConnections)
	if r.options.Restarted && r.enabled(mechanism.RestartConnectionLimit) && r.now < r.startedAt+staleConnectionTime {
		share /= 2
	}
	return max(share, 1)
}

// fixedBudgetShare returns this node's share of the fixed part of each budget. A restarted node
// has none for one budget window.
func (r *Router) fixedBudgetShare() float64 {
	if r.options.Restarted && r.now < r.startedAt+r.options.Budget.Window {
		return 0
	}
	return r.shares.Portion(r.now, r.options.Budget.Fixed, r.options.Budget.Window)
}
