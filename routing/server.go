package routing

import (
	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/extrabudget"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/rollout"
	"github.com/banksail/banksail/serverstate"
)

// failedSlowness stands for a failure of a server, and errorReplySlowness for an answer that
// says that it failed.
const (
	failedSlowness     = serverstate.MaxSlowness
	errorReplySlowness = failedSlowness / 2
)

// server is what the router knows of one server.
type server struct {
	discovery.Server
	serverstate.Estimate
	removed bool // is in no listing any more
	// unreachable says that no connection to it could be opened of late.
	unreachable bool
	// refusesConnections says that nobody listened at its address then, so that no other node reaches it.
	refusesConnections bool
	// evacuated says that nothing may be sent to its zone.
	evacuated bool
	// zone is its zone, as far as this node can reach that.
	zone *zone
	// coldSends counts what it got while it was cold.
	coldSends extrabudget.Counter
	// standing is what its version may get, and trials what it got of what is allowed to a
	// version that is not proven.
	standing    rollout.TrafficMode
	canarySends int
}

// attempt is an attempt in flight.
type attempt struct {
	*gather.Attempt
	server  *server
	flight  serverstate.PendingAttempt
	isExtra bool
	// toLimitedVersion says that it went to a version that is not proven.
	toLimitedVersion bool
	recordIndex      int // its place in the request's records
}

// ServerID implements gather.Server.
func (s *server) ServerID() string { return s.ID }

// isUsable reports whether the server takes new work.
func (s *server) isUsable() bool { return s.isEligible() && !s.unreachable && !s.zone.cutOff }

// isEligible reports whether it takes new work of nodes that can reach it.
func (s *server) isEligible() bool { return s.acceptsWork() && s.standing == rollout.Unrestricted }
