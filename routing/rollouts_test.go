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

// versions lists servers of a service: so many of each version, two in each zone.
func versions(service string, count int, names ...string) []discovery.Server {
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

// inRollout is a world with an order for a service, as of a phase.
func inRollout(t *testing.T, phase rollout.Phase, service string) *world {
	w := newWorld(t, routing.Options{Rollouts: rolloutBounds})
	w.setTable(60, service)
	w.setServers(versions(service, 2, "v1", "v2"))
	w.setPhase(phase, service)
	return w
}

func (w *world) setPhase(phase rollout.Phase, service string) {
	state := rollout.State{Order: 7, Target: "v2", OrderTimeKnown: true, Granted: 40}
	if phase != "" {
		state.Record = &rollout.Record{Order: 7, Target: "v2", Phase: phase, Before: []string{"v1"}, DecisionAt: 14 * time.Second}
	}
	w.step(routing.RolloutsChanged{States: map[string]rollout.State{service: state}, FreshUntil: time.Hour})
}

// serve asks many times and answers each attempt, and counts the attempts by version; answer
// tells how one of the target ends.
func (w *world) serve(r *route.Route, requests int, answer func(send routing.Send)) map[string]int {
	byVersion := make(map[string]int)
	for range requests {
		id := w.ask(r)
		w.pass(5 * time.Millisecond)
		for open := w.open(id); len(open) > 0; open = w.open(id) {
			for _, send := range open {
				byVersion[send.Server.Version]++
				if send.Server.Version == "v2" && answer != nil {
					answer(send)
				} else {
					w.end(send.Attempt, gather.ReplyDone)
				}
			}
		}
		w.pass(15 * time.Millisecond)
	}
	return byVersion
}

// What each version gets: nothing before there is a record, a share while it runs, all once
// traffic moves, and nothing after a roll-back.
func TestVersionsGetWhatTheyMay(t *testing.T) {
	for phase, want := range map[rollout.Phase]func(got map[string]int) bool{
		"":                 func(got map[string]int) bool { return got["v2"] == 0 },
		rollout.Running:    func(got map[string]int) bool { return got["v2"] > 5 && got["v2"] < 60 },
		rollout.Moving:     func(got map[string]int) bool { return got["v1"] == 0 },
		rollout.Completed:  func(got map[string]int) bool { return got["v1"] == 0 },
		rollout.RolledBack: func(got map[string]int) bool { return got["v2"] == 0 },
	} {
		w := inRollout(t, phase, "ledger")
		w.pass(2 * time.Second) // nodes move one after the other
		if got := w.serve(single("ledger", true), 300, nil); !want(got) {
			t.Errorf("%q: %v", phase, got)
		}
	}
}

// A part that fails at the target is asked of the version before, and the answer is whole;
// a hedge never goes to the target.
func TestPartsOfTheTargetAreAskedAgain(t *testing.T) {
	w := newWorld(t, routing.Options{Rollouts: rolloutBounds})
	w.setTable(60, "x", "y")
	w.setServers(slices.Concat(versions("x", 2, "v1", "v2"), versions("y", 2, "v1")))
	w.setPhase(rollout.Running, "x")
	r := fanOut(1, "x", "y")
	failed := 0
	w.serve(r, 200, func(send routing.Send) {
		failed++
		w.end(send.Attempt, gather.ReplyError)
	})
	if failed < 5 {
		t.Fatalf("only %d parts went to the target", failed)
	}
	for id, outcome := range w.finished {
		if outcome.Execution != gather.ExecutionDone || outcome.Missing != 0 {
			t.Errorf("request %d: %+v", id, outcome)
		}
	}
	for _, send := range w.order {
		if send.Server.Version == "v2" && send.Kind != gather.FirstSend {
			t.Errorf("a %v went to the target", send.Kind)
		}
	}
}

// Answers of an unproven version teach nothing about what is usual for a route, nor about its
// zone, and are told as evidence, with those of the version before on the same route.
func TestUnprovenAnswersAreEvidenceOnly(t *testing.T) {
	w := inRollout(t, "", "ledger")
	r := single("ledger", true)
	w.warm(r, 10*time.Millisecond)
	w.setPhase(rollout.Running, "ledger")
	w.serve(r, 150, func(send routing.Send) {
		w.pass(60 * time.Millisecond)
		if _, open := w.sends[send.Attempt]; open {
			w.end(send.Attempt, gather.ReplyDone)
		}
	})
	reports, _ := w.router.RolloutReports()
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
func TestWhatRemainsAtTheOldServersIsTold(t *testing.T) {
	w := inRollout(t, rollout.Running, "ledger")
	once := single("ledger", false)
	var id routing.RequestID
	for id = w.ask(once); w.open(id)[0].Server.Version != "v1"; id = w.ask(once) {
		w.end(w.open(id)[0].Attempt, gather.ReplyDone)
	}
	w.setPhase(rollout.Moving, "ledger")
	w.pass(2 * time.Second)
	w.ask(single("ledger", true))
	remaining := func() int {
		reports, hurried := w.router.RolloutReports()
		if len(reports) != 1 || !reports[0].Moved || !hurried {
			t.Fatalf("reports %+v, hurried %t", reports, hurried)
		}
		return reports[0].Remaining
	}
	if got := remaining(); got != 1 {
		t.Errorf("%d remain, want 1", got)
	}
	w.end(w.open(id)[0].Attempt, gather.ReplyDone)
	if got := remaining(); got != 0 {
		t.Errorf("%d remain, want none", got)
	}
}

// A halt stops what an order's target gets at once, and another order's does not.
func TestHaltsStopTheTarget(t *testing.T) {
	w := inRollout(t, rollout.Running, "ledger")
	w.step(routing.RolloutHalted{Service: "ledger", Order: 6})
	if got := w.serve(single("ledger", true), 200, nil); got["v2"] == 0 {
		t.Error("a halt of another order stopped this one")
	}
	w.step(routing.RolloutHalted{Service: "ledger", Order: 7})
	if got := w.serve(single("ledger", true), 200, nil); got["v2"] != 0 {
		t.Errorf("after a halt: %v", got)
	}
}

// Where the target's zone is evacuated, or all its servers are gone, the version before
// carries all; where that is gone, the target gets no more than it may.
func TestRolloutsKeepToEvacuationsAndLosses(t *testing.T) {
	w := inRollout(t, rollout.Running, "ledger")
	w.step(routing.ZonesChanged{Evacuated: []string{"a"}})
	w.serve(single("ledger", true), 200, nil)
	for _, send := range w.order {
		if send.Server.Zone == "a" {
			t.Fatalf("%s in an evacuated zone was asked", send.Server.ID)
		}
	}
	w = inRollout(t, rollout.Running, "ledger")
	w.setServers(versions("ledger", 2, "v2"))
	if got := w.serve(single("ledger", true), 300, nil); float64(got["v2"]) > 0.085*300+40 {
		t.Errorf("without the version before: %v", got)
	}
}
