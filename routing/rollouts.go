package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/rollout"
)

// RolloutsChanged gives what is known of the roll-outs of all services that have an order or
// a record of one, on the router's clock, and until when that is fresh.
type RolloutsChanged struct {
	States     map[string]rollout.State
	FreshUntil time.Duration
}

// RolloutHalted tells that the target of a service's order is to get nothing more.
type RolloutHalted struct {
	Service string
	Order   uint64
}

func (RolloutsChanged) event() {}
func (RolloutHalted) event()   {}

// rolloutsChanged takes what is known of the roll-outs.
func (r *Router) rolloutsChanged(event RolloutsChanged) {
	for name := range event.States {
		r.serviceNamed(name)
	}
	for name, s := range r.services {
		state, known := event.States[name]
		if !known && s.trial == nil {
			continue
		}
		if s.trial == nil {
			s.trial = rollout.NewCanary(r.options.Rollouts, r.random.Float64())
			r.setStandings(s)
		}
		s.trial.Update(state, event.FreshUntil)
		r.setStandings(s)
	}
	r.pumpAll()
}

func (r *Router) rolloutHalted(event RolloutHalted) {
	if s := r.services[event.Service]; s != nil && s.trial != nil {
		s.trial.Halt(event.Order)
		r.setStandings(s)
		r.pump(s)
	}
}

// setStandings tells each server of a service what it may get.
func (r *Router) setStandings(s *service) {
	if s.trial == nil {
		return
	}
	var versions []string
	for _, one := range s.servers {
		if one.there() && !slices.Contains(versions, one.Version) {
			versions = append(versions, one.Version)
		}
	}
	s.trial.SetVersions(versions)
	for _, one := range s.servers {
		one.standing = s.trial.TrafficMode(r.now, one.Version)
	}
}

// chooseForTrial picks the server of a service's target for a first send, if one is due and
// there is one that it can be seen by; nil when there is none.
func (r *Router) chooseForTrial(s *service, q *request, done *part, room int) *server {
	if !s.trial.ShouldSendToTarget(r.now, q.asked.Route.Name) {
		return nil
	}
	var able []*server
	for _, one := range s.servers {
		if r.ableForTrial(s, one, room) && q.allows(one.Zone) && done.mayAsk(one, q.asked.Route.Attempts) {
			able = append(able, one)
		}
	}
	if len(able) == 0 {
		return nil
	}
	place, underLoad := s.trial.LoadTestServer(r.now)
	if underLoad {
		slices.SortFunc(able, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
		return able[place%len(able)]
	}
	return slices.MinFunc(able, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.trials, b.trials), cmp.Compare(a.ID, b.ID))
	})
}

// ableForTrial reports whether an answer of a server would say something of its version.
func (r *Router) ableForTrial(s *service, one *server, room int) bool {
	there := one.standing == rollout.Limited && one.there() && !one.unreachable && !one.way.dark
	free := one.InFlight() < room && one.Utilization(r.now, one.Slots) < 1 && one.ShedUntil() <= r.now
	return there && free && !one.Cold(r.now) && r.bearsMore(s, one)
}

// countTrial counts a send in the service's roll-out, and reports whether it is of what the
// exposure allows.
func (r *Router) countTrial(s *service, to *server, routeName string, kind gather.SendKind) (limited bool) {
	if s.trial == nil {
		return false
	}
	target := s.trial.Active() && to.Version == s.trial.State().Target
	if kind == gather.FirstSend {
		s.trial.CountFirstSend(routeName, target)
	}
	if target {
		to.trials++
		s.trial.CountTargetSend()
	}
	return to.standing == rollout.Limited
}

// judge counts an answer, or its lack, as evidence on its server's version.
func (r *Router) judge(a *attempt, q *request, answer rollout.AnswerQuality) {
	s := a.Segment.Group.(*service)
	if s.trial == nil || !s.trial.Active() || a.server.Cold(r.now) {
		return
	}
	state := s.trial.State()
	switch {
	case a.server.Version == state.Target:
		s.trial.Evidence().Target(q.asked.Route.Name, a.server.Incarnation().String(), answer)
	case state.Record != nil && slices.Contains(state.Record.Before, a.server.Version):
		s.trial.Evidence().Before(q.asked.Route.Name, answer)
	}
}

// judgeReply judges a whole reply. What did not run says nothing of a version.
func (r *Router) judgeReply(a *attempt, q *request, status gather.ReplyStatus) {
	s := a.Segment.Group.(*service)
	if s.trial == nil {
		return
	}
	s.trial.CountRequest()
	switch status {
	case gather.ReplyDone:
		r.judge(a, q, r.speedOf(a, q))
	case gather.ReplyError:
		r.judge(a, q, rollout.Failed)
	case gather.ReplyShed, gather.ReplyNotOwner, gather.ReplyDraining:
	}
}

// judgeFailure judges an attempt that ended without a reply. One that was given up before it
// was late says nothing.
func (r *Router) judgeFailure(a *attempt, q *request, event Failed) {
	s := a.Segment.Group.(*service)
	switch {
	case s.trial == nil || event.Reason == zoneUnreachable:
	case event.Delivery == gather.ServerCrashed && a.Alone: // it speaks against the request
	case event.Delivery == gather.NotDelivered:
		if s.trial.Active() && a.server.Version == s.trial.State().Target {
			s.trial.UndoTargetSend()
		}
	case a.IsPending():
		r.judge(a, q, rollout.Failed)
	default:
		if answer := r.speedOf(a, q); answer == rollout.Slow {
			r.judge(a, q, answer)
		}
	}
}

// speedOf is Slow for an attempt that takes much longer than is usual for its route.
func (r *Router) speedOf(a *attempt, q *request) rollout.AnswerQuality {
	usual := q.latency.usual()
	if usual > 0 && float64(r.sinceSent(a)) > rollout.SlowFactor*float64(usual) {
		return rollout.Slow
	}
	return rollout.Good
}

// RolloutReports lists what this node has to tell of the roll-outs that have not ended: what
// it has seen, and how far it has moved. The owner adds who it is. Hurried says that the
// deciders are to hear of one more often.
func (r *Router) RolloutReports() (reports []rollout.Report, hurried bool) {
	for name, s := range r.services {
		if s.trial == nil || !s.trial.Active() {
			continue
		}
		report := rollout.Report{
			Service: name, Order: s.trial.State().Order, Moved: s.trial.Moved(r.now), Remaining: r.remaining(s),
		}
		report.Target, report.Before = s.trial.Evidence().Cells()
		if len(report.Target)+len(report.Before) == 0 && !s.trial.NeedsFrequentReports(r.now) {
			continue
		}
		hurried = hurried || s.trial.NeedsFrequentReports(r.now)
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b rollout.Report) int { return cmp.Compare(a.Service, b.Service) })
	return reports, hurried
}

// remaining counts what runs at servers that get nothing more and is still wanted, or may
// not be run again.
func (r *Router) remaining(s *service) int {
	count := 0
	for _, a := range r.attempts {
		wanted := a.IsPending() || !r.requestOf(a).asked.Route.Repeatable
		if a.Segment.Group == gather.Group(s) && a.server.standing == rollout.Blocked && wanted {
			count++
		}
	}
	return count
}

// RolloutExposure tells what a service's target got from this node, and what it might have.
type RolloutExposure struct {
	Service, Target string
	Sent            int
	Allowed         float64
}

// RolloutExposures lists those of the roll-outs that have not ended.
func (r *Router) RolloutExposures() []RolloutExposure {
	var exposures []RolloutExposure
	for name, s := range r.services {
		if s.trial != nil && s.trial.Active() {
			exposures = append(exposures, RolloutExposure{
				Service: name, Target: s.trial.State().Target, Sent: s.trial.TargetSends(), Allowed: s.trial.Allowed(),
			})
		}
	}
	return exposures
}

// there reports whether a server takes work at all.
func (s *server) there() bool { return !s.gone && !s.evacuated && s.State == discovery.Ready }
