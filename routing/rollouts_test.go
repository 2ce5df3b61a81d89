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

// serversOfVersions lists servers of a service: so many of each version, two in each zone.
func serversOfVersions(service string, count int, names ...string) []discovery.Server {
	var all []discovery.Server
	for _, name := range names {
		for number, one := range servers(count, service) {
			one.ID, one.Version = one.ID+"-"+name, name
			one.Zone = []string{"a", "b"}[number%2]
			all = append(all, one)
		}
	}
	return all
}

// newRolloutHarness is a world with an order for a service, as of a phase.
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

// serve asks many times and answers each attempt, and counts the attempts by version; answer
// tells how one of the target ends.
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

// What each version gets: nothing before there is a record, a share while it runs, all once
// traffic moves, and nothing after a roll-back.
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
			t.Errorf("%q: %v", phase, got)
		}
	}
}

// A part that fails at the target is asked of the version before, and the answer is whole;
// a hedge never goes to the target.
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
		t.Fatalf("only %d parts went to the target", failed)
	}
	for id, outcome := range h.finished {
		if outcome.Execution != gather.ExecutionDone || outcome.Missing != 0 {
			t.Errorf("request %d: %+v", id, outcome)
		}
	}
	for _, send := range h.allSends {
		if send.Server.Version == "v2" && send.Kind != gather.FirstSend {
			t.Errorf("a %v went to the target", send.Kind)
		}
	}
}

// Answers of an unproven version teach nothing about what is usual for a route, nor about its
// zone, and are told as evidence, with those of the version before on the same route.
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
		t.Fatalf("reports %+v", reports)
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
		t.Errorf("target %+v, before %+v", target, before)
	}
}

// Servers of a version that is closed to it keep a node from nothing: what runs there is
// told until it has ended.
func TestReportsRemainingAttemptsAtOldVersion(t *testing.T) {
	h := newRolloutHarness(t, rollout.Running, "ledger")
	once := single("ledger", false)
	var id routing.RequestID
	for id = h.submit(once); h.inFlight(id)[0].Server.Version != "v1"; id = h.submit(once) {
		h.complete(h.inFlight(id)[0].Attempt, gather.ReplyDone)
	}
	h.setPhase(rollout.Moving, "ledger")
	h.advance(2 * time.Second)
	h.submit(single("ledger", true))
	remaining := func() int {
		reports, hurried := h.router.RolloutReports()
		if len(reports) != 1 || !reports[0].Moved || !hurried {
			t.Fatalf("reports %+v, hurried %t", reports, hurried)
		}
		return reports[0].Remaining
	}
	if got := remaining(); got != 1 {
		t.Errorf("%d remain, want 1", got)
	}
	h.complete(h.inFlight(id)[0].Attempt, gather.ReplyDone)
	if got := remaining(); got != 0 {
		t.Errorf("%d remain, want none", got)
	}
}

// A halt stops what an order's target gets at once, and another order's does not.
func TestHaltStopsTargetTraffic(t *testing.T) {
	h := newRolloutHarness(t, rollout.Running, "ledger")
	h.step(routing.RolloutHalted{Service: "ledger", Order: 6})
	if got := h.serve(single("ledger", true), 200, nil); got["v2"] == 0 {
		t.Error("a halt of another order stopped this one")
	}
	h.step(routing.RolloutHalted{Service: "ledger", Order: 7})
	if got := h.serve(single("ledger", true), 200, nil); got["v2"] != 0 {
		t.Errorf("after a halt: %v", got)
	}
}

// Where the target's zone is evacuated, or all its servers are gone, the version before
// carries all; where that is gone, the target gets no more than it may.
func TestRolloutRespectsEvacuationAndServerLoss(t *testing.T) {
	h := newRolloutHarness(t, rollout.Running, "ledger")
	h.step(routing.ZonesChanged{Evacuated: []string{"a"}})
	h.serve(single("ledger", true), 200, nil)
	for _, send := range h.allSends {
		if send.Server.Zone == "a" {
			t.Fatalf("%s in an evacuated zone was asked", send.Server.ID)
		}
	}
	h = newRolloutHarness(t, rollout.Running, "ledger")
	h.setServers(serversOfVersions("ledger", 2, "v2"))
	if got := h.serve(single("ledger", true), 300, nil); float64(got["v2"]) > 0.085*300+40 {
		t.Errorf("without the version before: %v", got)
	}
}
