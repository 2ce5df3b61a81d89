package routing

import (
	"time"

	"github.com/banksail/banksail/limit"
	"github.com/banksail/banksail/mechanism"
)

// staleConnectionTime is how long servers may still count the connections of an earlier
// incarnation whose machine lost power: beside those a node has half.
const staleConnectionTime = 3 * time.Second

// connectionShare is the number of connections that this node may have to each of the
// service's servers, and so the attempts in flight there.
func (r *Router) connectionShare(s *service) int {
	if s.connections == 0 || r.shares.ServingNodes() == 0 {
		return 1 // nothing is known of what the nodes share
	}
	share := limit.ConnectionShare(s.connections, r.shares.ServingNodes(), r.options.SpareConnections)
	if r.options.Restarted && r.enabled(mechanism.RestartConnectionLimit) && r.now < r.startedAt+staleConnectionTime {
		share /= 2
	}
	return max(share, 1)
}

// fixedBudgetShare is the node's part of each budget's fixed number. A fresh
// incarnation has none for a window.
func (r *Router) fixedBudgetShare() float64 {
	if r.options.Restarted && r.now < r.startedAt+r.options.Budget.Window {
		return 0
	}
	return r.shares.Portion(r.now, r.options.Budget.Fixed, r.options.Budget.Window)
}
