package routing_test

import (
	"slices"
	"testing"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/rollout"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

var rolloutBounds = rollout.Bounds{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second}

// serversOfVersions returns count servers of a service for each version, spread over zones a and
// b.
func serversOfVersions(service string, count int, names ...string) []discovery.Server {
	var all []discovery.Server
	for _, name := range names {
		for number, srv := range servers(count, service) {
			srv.ID, srv.Version = srv.ID+"-"+name, name
			srv.Zone = []string{"a", "b"}[number%2]
			all = append(all, srv)
		}
	}
	return all
}

// newRolloutHarness returns a harness with a roll-out order for a service in the given phase.
func newRolloutHarness(t *testing.T, phase rollout.Phase, service string) *harness {
	h := newHarness(t, routing.Options{Rollouts: rolloutBounds})
	h.setTable(60, service)
	h.setServers(serversOfVersions(service, 2, "v1", "v2"))
	h.setPhase(phase, service)
	return h
}

func (h *harness) setPhase(phase rollout.Phase, service string) {
	state := rollout.State{Order: 7, Target: "v2", OrderTimeKnown: true, Granted: 40}
	if phase != "" {
		state.Record = &rollout.Record{Order: 7, Target: "v2", Phase: phase, Before: []string{"v1"}, DecisionAt: 14 * time.Second}
	}
	h.step(routing.RolloutsChanged{States: map[string]rollout.State{service: state}, FreshUntil: time.Hour})
}

// serve submits requests, answers every attempt and counts the attempts by version. answer, if
// set, ends attempts at the target version instead.
func (h *harness) serve(r *route.Route, requests int, answer func(send routing.Send)) map[string]int {
	byVersion := make(map[string]int)
	for range requests {
		id := h.submit(r)
		h.advance(5 * time.Millisecond)
		for open := h.inFlight(id); len(open) > 0; open = h.inFlight(id) {
			for _, send := range open {
				byVersion[send.Server.Version]++
				if send.Server.Version == "v2" && answer != nil {
					answer(send)
				} else {
					h.complete(send.Attempt, gather.ReplyDone)
				}
			}
		}
		h.advance(15 * time.Millisecond)
	}
	return byVersion
}

// The target must receive nothing before there is a record, a limited share while the roll-out
// runs, everything once traffic moves, and nothing after a rollback.
func TestTrafficByRolloutPhase(t *testing.T) {
	for phase, want := range map[rollout.Phase]func(got map[string]int) bool{
		"":                 func(got map[string]int) bool { return got["v2"] == 0 },
		rollout.Running:    func(got map[string]int) bool { return got["v2"] > 5 && got["v2"] < 60 },
		rollout.Moving:     func(got map[string]int) bool { return got["v1"] == 0 },
		rollout.Completed:  func(got map[string]int) bool { return got["v1"] == 0 },
		rollout.RolledBack: func(got map[string]int) bool { return got["v2"] == 0 },
	} {
		h := newRolloutHarness(t, phase, "ledger")
		h.advance(2 * time.Second) // nodes move one after the other
		if got := h.serve(single("ledger", true), 300, nil); !want(got) {
			t.Errorf("phase %q: sends by version %v", phase, got)
		}
	}
}

// A part that fails at the target must be retried at the previous version, so that the answer is
// complete. Hedges and retries must never go to the target.
func TestFailedTargetPartsRetryOnPreviousVersion(t *testing.T) {
	h := newHarness(t, routing.Options{Rollouts: rolloutBounds})
	h.setTable(60, "x", "y")
	h.setServers(slices.Concat(serversOfVersions("x", 2, "v1", "v2"), serversOfVersions("y", 2, "v1")))
	h.setPhase(rollout.Running, "x")
	r := fanOut(1, "x", "y")
	failed := 0
	h.serve(r, 200, func(send routing.Send) {
		failed++
		h.complete(send.Attempt, gather.ReplyError)
	})
	if failed < 5 {
		t.Fatalf("only %d parts were sent to the target, want at least 5", failed)
	}
	for id, outcome := range h.finished {
		if outcome.Execution != gather.ExecutionDone || outcome.Missing != 0 {
			t.Errorf("request %d: outcome %+v, want a complete answer", id, outcome)
		}
	}
	for _, send := range h.allSends {
		if send.Server.Version == "v2" && send.Kind != gather.FirstSend {
			t.Errorf("send of kind %v went to the target", send.Kind)
		}
	}
}

// Answers of an unproven version must not affect the statistics of the route or its zone. They are
// reported as evidence, together with those of the previous version on the same route.
func TestUnprovenAnswersOnlyCountAsEvidence(t *testing.T) {
	h := newRolloutHarness(t, "", "ledger")
	r := single("ledger", true)
	h.learnLatency(r, 10*time.Millisecond)
	h.setPhase(rollout.Running, "ledger")
	h.serve(r, 150, func(send routing.Send) {
		h.advance(60 * time.Millisecond)
		if _, open := h.openSends[send.Attempt]; open {
			h.complete(send.Attempt, gather.ReplyDone)
		}
	})
	reports, _ := h.router.RolloutReports()
	if len(reports) != 1 || reports[0].Service != "ledger" || reports[0].Order != 7 {
		t.Fatalf("reports %+v, want one for order 7 of ledger", reports)
	}
	var target, before rollout.Counts
	for _, cell := range reports[0].Target {
		target.Answers += cell.Answers
		target.Slow += cell.Slow
	}
	for _, cell := range reports[0].Before {
		before.Answers += cell.Answers
		before.Slow += cell.Slow
	}
	if target.Answers < 5 || target.Slow < target.Answers*9/10 || before.Answers < 50 || before.Slow > before.Answers/5 {
		t.Errorf("evidence: target %+v, previous version %+v", target, before)
	}
}

// Attempts still in flight at servers of a blocked version must be reported until they have ended,
// without keeping the node from moving its traffic.
func TestReportsRemainingAttemptsAtOldVersion(t *testing.T) {
	h := newRolloutHarness(t, rollout.Running, "ledger")
	nonRepeatable := single("ledger", false)
	var id routing.RequestID
	for id = h.submit(nonRepeatable); h.inFlight(id)[0].Server.Version != "v1"; id = h.submit(nonRepeatable) {
		h.complete(h.inFlight(id)[0].Attempt, gather.ReplyDone)
	}
	h.setPhase(rollout.Moving, "ledger")
	h.advance(2 * time.Second)
	h.submit(single("ledger", true))
	remaining := func() int {
		reports, frequent := h.router.RolloutReports()
		if len(reports) != 1 || !reports[0].Moved || !frequent {
			t.Fatalf("reports %+v, frequent %t", reports, frequent)
		}
		return reports[0].Remaining
	}
	if got := remaining(); got != 1 {
		t.Errorf("%d remaining attempts, want 1", got)
	}
	h.complete(h.inFlight(id)[0].Attempt, gather.ReplyDone)
	if got := remaining(); got != 0 {
		t.Errorf("%d remaining attempts, want none", got)
	}
}

// A halt must stop traffic to the target of its own order immediately, but not that of another
// order.
func TestHaltStopsTargetTraffic(t *testing.T) {
	h := newRolloutHarness(t, rollout.Running, "ledger")
	h.step(routing.RolloutHalted{Service: "ledger", Order: 6})
	if got := h.serve(single("ledger", true), 200, nil); got["v2"] == 0 {
		t.Error("the halt of another order stopped traffic to the target")
	}
	h.step(routing.RolloutHalted{Service: "ledger", Order: 7})
	if got := h.serve(single("ledger", true), 200, nil); got["v2"] != 0 {
		t.Errorf("after the halt: sends by version %v", got)
	}
}

// If the target's zone is evacuated or all its servers are gone, the previous version must serve
// everything. If the previous version is gone, the target must still not exceed its limit.
func TestRolloutRespectsEvacuationAndServerLoss(t *testing.T) {
	h := newRolloutHarness(t, rollout.Running, "ledger")
	h.step(routing.ZonesChanged{Evacuated: []string{"a"}})
	h.serve(single("ledger", true), 200, nil)
	for _, send := range h.allSends {
		if send.Server.Zone == "a" {
			t.Fatalf("server %s in an evacuated zone got a send", send.Server.ID)
		}
	}
	h = newRolloutHarness(t, rollout.Running, "ledger")
	h.setServers(serversOfVersions("ledger", 2, "v2"))
	if got := h.serve(single("ledger", true), 300, nil); float64(got["v2"]) > 0.085*300+40 {
		t.Errorf("without the previous version: sends by version %v", got)
	}
}
