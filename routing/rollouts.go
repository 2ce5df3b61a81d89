package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/rollout"
)

// RolloutsChanged provides the known state, on the router's clock, of all roll-outs that have an
// order or a record, keyed by service, and until when it counts as fresh.
type RolloutsChanged struct {
	States     map[string]rollout.State
	FreshUntil time.Duration
}

// RolloutHalted reports that the target version of an order must receive no more traffic.
type RolloutHalted struct {
	Service string
	Order   uint64
}

func (RolloutsChanged) event() {}
func (RolloutHalted) event()   {}

// updateRollouts replaces the known states of roll-outs.
func (r *Router) updateRollouts(event RolloutsChanged) {
	for name := range event.States {
		r.ensureService(name)
	}
	for name, s := range r.services {
		state, known := event.States[name]
		if !known && s.canary == nil {
			continue
		}
		if s.canary == nil {
			s.canary = rollout.NewCanary(r.options.Rollouts, r.random.Float64())
			r.updateTrafficModes(s)
		}
		s.canary.Update(state, event.FreshUntil)
		r.updateTrafficModes(s)
	}
	r.dispatchAllQueued()
}

func (r *Router) haltRollout(event RolloutHalted) {
	if s := r.services[event.Service]; s != nil && s.canary != nil {
		s.canary.Halt(event.Order)
		r.updateTrafficModes(s)
		r.dispatchQueued(s)
	}
}

// updateTrafficModes recalculates what traffic each server of a service may receive.
func (r *Router) updateTrafficModes(s *service) {
	if s.canary == nil {
		return
	}
	var versions []string
	for _, srv := range s.servers {
		if srv.acceptsWork() && !slices.Contains(versions, srv.Version) {
			versions = append(versions, srv.Version)
		}
	}
	s.canary.SetVersions(r.now, versions)
	for _, srv := range s.servers {
		srv.trafficMode = s.canary.TrafficMode(r.now, srv.Version)
	}
}

// chooseCanaryServer selects a server of the target version for a first send, if the target is due
// a request and has a suitable server; nil otherwise.
func (r *Router) chooseCanaryServer(s *service, q *request, p *part, capacity int) *server {
	if !s.canary.ShouldSendToTarget(r.now, q.asked.Route.Name) {
		return nil
	}
	var candidates []*server
	for _, srv := range s.servers {
		if r.isCanaryCandidate(s, srv, capacity) && q.allowsZone(srv.Zone) && p.maySendTo(srv, q.asked.Route.Attempts) {
			candidates = append(candidates, srv)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	index, underLoad := s.canary.LoadTestServer(r.now)
	if underLoad {
		slices.SortFunc(candidates, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
		return candidates[index%len(candidates)]
	}
	return slices.MinFunc(candidates, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.canarySends, b.canarySends), cmp.Compare(a.ID, b.ID))
	})
}

// isCanaryCandidate reports whether an answer of the server would be evidence on its version: it
// must be limited, reachable and warm, with free capacity.
func (r *Router) isCanaryCandidate(s *service, srv *server, capacity int) bool {
	reachable := srv.trafficMode == rollout.Limited && srv.acceptsWork() && !srv.unreachable && !srv.zone.isolated
	hasCapacity := srv.InFlight() < capacity && srv.Utilization(r.now, srv.Slots) < 1 && srv.ShedUntil() <= r.now
	return reachable && hasCapacity && !srv.Cold(r.now) && r.coldLimitAllows(s, srv)
}

// countCanarySend counts a send in the service's roll-out and reports whether it falls under the
// exposure limit.
func (r *Router) countCanarySend(s *service, srv *server, routeName string, kind gather.SendKind) (limited bool) {
	if s.canary == nil {
		return false
	}
	target := s.canary.Active() && srv.Version == s.canary.State().Target
	if kind == gather.FirstSend {
		s.canary.CountFirstSend(routeName, target)
	}
	if target {
		srv.canarySends++
		s.canary.CountTargetSend()
	}
	return srv.trafficMode == rollout.Limited
}

// recordEvidence counts an answer or failure as evidence on the server's version.
func (r *Router) recordEvidence(a *attempt, q *request, answer rollout.AnswerQuality) {
	s := a.Segment.Group.(*service)
	if s.canary == nil || !s.canary.Active() || a.server.Cold(r.now) {
		return
	}
	state := s.canary.State()
	switch {
	case a.server.Version == state.Target:
		s.canary.Evidence().Target(q.asked.Route.Name, a.server.Incarnation().String(), answer)
	case state.Record != nil && slices.Contains(state.Record.Before, a.server.Version):
		s.canary.Evidence().Before(q.asked.Route.Name, answer)
	}
}

// recordReplyEvidence counts a complete reply as evidence. A request that was not executed says
// nothing about a version.
func (r *Router) recordReplyEvidence(a *attempt, q *request, status gather.ReplyStatus) {
	s := a.Segment.Group.(*service)
	if s.canary == nil {
		return
	}
	s.canary.CountRequest()
	switch status {
	case gather.ReplyDone:
		r.recordEvidence(a, q, r.classifyLatency(a, q))
	case gather.ReplyError:
		r.recordEvidence(a, q, rollout.Failed)
	case gather.ReplyShed, gather.ReplyNotOwner, gather.ReplyDraining:
	}
}

// recordFailureEvidence counts an attempt that ended without a reply as evidence. One that was
// cancelled before it was slow says nothing about the version.
func (r *Router) recordFailureEvidence(a *attempt, q *request, event Failed) {
	s := a.Segment.Group.(*service)
	switch {
	case s.canary == nil || event.Reason == zoneUnreachable:
	case event.Delivery == gather.ServerCrashed && a.Alone: // evidence against the request, not the version
	case event.Delivery == gather.NotDelivered:
		if s.canary.Active() && a.server.Version == s.canary.State().Target {
			s.canary.UndoTargetSend()
		}
	case a.IsPending():
		r.recordEvidence(a, q, rollout.Failed)
	default:
		if answer := r.classifyLatency(a, q); answer == rollout.Slow {
			r.recordEvidence(a, q, answer)
		}
	}
}

// classifyLatency returns rollout.Slow for an attempt that takes rollout.SlowFactor times the
// route's median latency, and rollout.Good otherwise.
func (r *Router) classifyLatency(a *attempt, q *request) rollout.AnswerQuality {
	median := q.stats.median()
	if median > 0 && float64(r.sinceSent(a)) > rollout.SlowFactor*float64(median) {
		return rollout.Slow
	}
	return rollout.Good
}

// RolloutReports returns this node's reports on active roll-outs: the evidence that it collected
// and whether it has moved its traffic. The owner adds the node's identity. needsFrequentReports
// asks the owner to report more often to the deciders.
func (r *Router) RolloutReports() (reports []rollout.Report, needsFrequentReports bool) {
	for name, s := range r.services {
		if s.canary == nil || !s.canary.Active() {
			continue
		}
		report := rollout.Report{
			Service: name, Order: s.canary.State().Order, Moved: s.canary.Moved(r.now), Remaining: r.remainingAttempts(s),
		}
		report.Target, report.Before = s.canary.Evidence().Cells()
		if len(report.Target)+len(report.Before) == 0 && !s.canary.NeedsFrequentReports(r.now) {
			continue
		}
		needsFrequentReports = needsFrequentReports || s.canary.NeedsFrequentReports(r.now)
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b rollout.Report) int { return cmp.Compare(a.Service, b.Service) })
	return reports, needsFrequentReports
}

// remainingAttempts counts attempts in flight at servers of blocked versions whose replies are
// still needed or which must not be repeated.
func (r *Router) remainingAttempts(s *service) int {
	count := 0
	for _, a := range r.attempts {
		counted := a.IsPending() || !r.requestOf(a).asked.Route.Repeatable
		if a.Segment.Group == gather.Group(s) && a.server.trafficMode == rollout.Blocked && counted {
			count++
		}
	}
	return count
}

// RolloutExposure is the number of requests that this node sent to a roll-out's target version,
// and the number allowed.
type RolloutExposure struct {
	Service, Target string
	Sent            int
	Allowed         float64
}

// RolloutExposures returns the exposure of all active roll-outs.
func (r *Router) RolloutExposures() []RolloutExposure {
	var exposures []RolloutExposure
	for name, s := range r.services {
		if s.canary != nil && s.canary.Active() {
			exposures = append(exposures, RolloutExposure{
				Service: name, Target: s.canary.State().Target, Sent: s.canary.TargetSends(), Allowed: s.canary.Allowed(),
			})
		}
	}
	return exposures
}

// acceptsWork reports whether the server is listed, ready and not in an evacuated zone.
func (s *server) acceptsWork() bool { return !s.removed && !s.evacuated && s.State == discovery.Ready }
