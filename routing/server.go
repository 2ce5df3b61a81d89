package routing

import (
	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/extrabudget"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/rollout"
	"github.com/banksail/banksail/serverstate"
)

// failedSlowness is the slowness recorded for a failed attempt, and errorReplySlowness that for an
// error reply.
const (
	failedSlowness     = serverstate.MaxSlowness
	errorReplySlowness = failedSlowness / 2
)

// server is the router's state for one server.
type server struct {
	discovery.Server
	serverstate.Estimate
	removed bool // no longer listed
	// unreachable is set after a connection to the server failed to open, until one opens again.
	unreachable bool
	// refusesConnections is set if the address refused the connection (nothing listens there), in
	// which case other nodes cannot reach the server either.
	refusesConnections bool
	// evacuated is set if the server's zone is evacuated.
	evacuated bool
	// zone is the state of the server's zone.
	zone *zone
	// coldSends counts the sends to the server while it was cold.
	coldSends extrabudget.Counter
	// trafficMode is the traffic that the server's version may receive. canarySends counts sends to
	// it while its version was the target of a roll-out.
	trafficMode rollout.TrafficMode
	canarySends int
}

// attempt is an attempt in flight.
type attempt struct {
	*gather.Attempt
	server  *server
	flight  serverstate.PendingAttempt
	isExtra bool
	// toLimitedVersion is set if the attempt went to an unproven version, whose traffic is
	// limited.
	toLimitedVersion bool
	recordIndex      int // index into request.records
}

// ServerID implements gather.Server.
func (s *server) ServerID() string { return s.ID }

// isUsable reports whether this node may send new work to the server.
func (s *server) isUsable() bool { return s.isEligible() && !s.unreachable && !s.zone.isolated }

// isEligible reports whether a node that can reach the server may send new work to it.
func (s *server) isEligible() bool { return s.acceptsWork() && s.trafficMode == rollout.Unrestricted }
