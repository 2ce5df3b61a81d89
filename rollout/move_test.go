package rollout

import (
	"fmt"
	"testing"
	"time"
)

// deciderAtDecision returns a decider of a running order of 20 s at the time of the decision. Each of
// two nodes has reported the given numbers of good answers of the target and of the previous version,
// on one route.
func deciderAtDecision(target, before int) (d *Decider, now time.Duration) {
	input := orderInput()
	record := *stateInPhase(Running).Record
	input.Record, input.RecordRevision = &record, 10
	d = NewDecider("x", testBounds)
	d.Observe(0, input)
	now = record.DecisionAt
	for at := time.Duration(0); at < now; at += 250 * time.Millisecond {
		portion := func(total int) int { return int(float64(total) * float64(at) / float64(now)) }
		var cells []Cell
		for server := range 3 {
			cells = append(cells, Cell{Route: "a", Server: fmt.Sprint("server-", server), Counts: Counts{Answers: portion(target / 3)}})
		}
		for _, node := range []string{"a", "b"} {
			d.AddReport(at, Report{
				Node: node, Process: "1", Service: "x", Order: 7,
				Target: cells, Before: []Cell{{Route: "a", Counts: Counts{Answers: portion(before)}}},
			})
		}
	}
	return d, now
}

// Versions that turn out to be bad only under all traffic received up to three times their bound (865
// requests instead of 257) when traffic moved 6.6 s before the deadline after only eight answers. The
// move must be so late that the bound holds even for a bad target. If there is no time left for such a
// move, only a target that is proven healthy may move.
func TestMovesKeepTheBoundForBadTargets(t *testing.T) {
	for name, test := range map[string]struct {
		target, before int
		moves          bool
	}{
		"few requests":           {9, 30, true},
		"hardly any":             {9, 9, true},
		"many, too few answers":  {12, 1500, false},
		"few, but much is given": {30, 60, false},
	} {
		d, now := deciderAtDecision(test.target, test.before)
		write, due := d.Tick(now)
		if !due {
			if test.moves {
				t.Errorf("%s: no decision", name)
			}
			continue
		}
		if !test.moves {
			t.Errorf("%s: decided %s (%s), want no decision", name, write.Record.Phase, write.Record.Reason)
			continue
		}
		all, sent := float64(2*(test.target+test.before)), float64(2*test.target)
		left := (20*time.Second - write.Record.MoveAt).Seconds()
		perSecond := all / now.Seconds()
		bound := 0.1*(all+perSecond*6) + 50
		if write.Record.Phase != Moving || sent+perSecond*left > bound || left < minMoveTime.Seconds() {
			t.Errorf("%s: phase %s, move %.1f s before the deadline, %.0f requests of a bound of %.0f", name, write.Record.Phase, left, sent+perSecond*left, bound)
		}
		if write.Record.MoveAt < now+moveNotice {
			t.Errorf("%s: nodes don't learn of the move at %s in time", name, write.Record.MoveAt)
		}
	}
}

// If an order may be younger than assumed, its deadline may be later, and the target may receive more
// requests in the move. The move must be planned shorter by that uncertainty, and by no more.
func TestMovesAreShorterWhereTheOrderMayBeYounger(t *testing.T) {
	lengthOf := func(uncertainty time.Duration) time.Duration {
		d, now := deciderAtDecision(9, 60)
		d.input.Latest = d.input.Since + uncertainty
		write, due := d.Tick(now)
		if !due || write.Record.Phase != Moving {
			t.Fatalf("with an uncertainty of %s: due %v, phase %s", uncertainty, due, write.Record.Phase)
		}
		return 20*time.Second - write.Record.MoveAt
	}
	certain, uncertain := lengthOf(0), lengthOf(1500*time.Millisecond)
	if certain <= uncertain || certain-uncertain > 1500*time.Millisecond {
		t.Errorf("move times of %s and %s without and with uncertainty", certain, uncertain)
	}
}

// In two of 10,000 simulated roll-outs a bad version exceeded its bound by one or two requests: one
// that was bad on a rare route (68 of 66.8) and one with 67 of 64.3. Neither could be distinguished from
// a good version, and more requests came during the move than expected (37 instead of 25, two and a half
// standard deviations, as happens in one move of a hundred). A move that takes more than the bound
// allows must not be completed.
func TestMovesOverTheBoundAreRolledBack(t *testing.T) {
	for _, seed := range []uint64{2026120523, 2026128490} {
		var seen tally
		seen.play(seed, noBug)
		if breach := seen.breaches(); breach != "" {
			t.Errorf("seed %d: %s", seed, breach)
		}
	}
}

// An order without a decision must be rolled back before its deadline.
func TestUndecidedOrdersAreRolledBack(t *testing.T) {
	d, now := deciderAtDecision(12, 1500)
	for ; now < 20*time.Second; now += 100 * time.Millisecond {
		if write, due := d.Tick(now); due {
			if write.Record.Phase != RolledBack {
				t.Errorf("phase %s at %s, want a roll-back", write.Record.Phase, now)
			}
			return
		}
	}
	t.Error("the order did not end before its deadline")
}

// After the decision to move, nodes must send nothing to the target until the move, and everything
// afterwards.
func TestTargetGetsNothingBeforeTheMove(t *testing.T) {
	state := stateInPhase(Moving)
	state.Record.MoveAt = 16 * time.Second
	for _, offset := range []float64{0, 0.9} {
		canary := NewCanary(testBounds, offset)
		canary.Update(state, time.Hour)
		if sent, _ := offerSends(canary, 14*time.Second, 16*time.Second, "a"); sent != 0 {
			t.Errorf("%d requests went to the target before the move", sent)
		}
		for _, version := range []string{"v1", "v2"} {
			early, late := canary.TrafficMode(16*time.Second-1, version), canary.TrafficMode(16*time.Second+rampTime, version)
			if early == late || version == "v2" && late != Unrestricted || version == "v1" && late != Blocked {
				t.Errorf("%s: traffic mode %d before the move, %d after it", version, early, late)
			}
		}
	}
}

// A target is proven healthy only by answers on each route and of servers under load.
func TestProofRequiresEachRouteAndLoad(t *testing.T) {
	good := func(server string, answers int) Cell {
		return Cell{Route: "a", Server: server, Counts: Counts{Answers: answers}}
	}
	before := []Cell{{Route: "a", Counts: Counts{Answers: 60}}}
	other := Cell{Route: "b", Counts: Counts{Answers: 60}}
	for name, test := range map[string]struct {
		target, before []Cell
		want           Verdict
	}{
		"under load":            {[]Cell{good("1", 30), good("2", 1)}, before, ProvenHealthy},
		"spread, without load":  {[]Cell{good("1", 3), good("2", 3), good("3", 3)}, before, Healthy},
		"another route untried": {[]Cell{good("1", 90), {Route: "b", Server: "1", Counts: Counts{Answers: 3}}}, append(before, other), Healthy},
		"a few fail":            {[]Cell{{Route: "a", Server: "1", Counts: Counts{Answers: 30, Failed: 2}}}, before, Healthy},
	} {
		j := NewJudge()
		j.AddReport(time.Second, Report{Node: "n", Process: "1", Before: test.before, Target: test.target})
		if got, reason := j.Verdict(); got != test.want {
			t.Errorf("%s: verdict %d (%s), want %d", name, got, reason, test.want)
		}
	}
}

// A move must not be completed while the latest answers are suspicious, unless all of them came from
// one server or node.
func TestSuspiciousAnswersHoldAMove(t *testing.T) {
	failing := func(server string) Cell {
		return Cell{Route: "a", Server: server, Counts: Counts{Answers: 2, Failed: 1}}
	}
	for name, test := range map[string]struct {
		servers []string
		want    bool
	}{
		"of two servers": {[]string{"1", "2"}, true},
		"of one server":  {[]string{"1"}, false},
	} {
		j := NewJudge()
		for second, node := range []string{"n", "m"} {
			var cells []Cell
			for _, server := range test.servers {
				cells = append(cells, failing(server))
			}
			cells = append(cells, Cell{Route: "a", Server: "3", Counts: Counts{Answers: 5}})
			j.AddReport(time.Duration(second)*time.Second, Report{
				Node: node, Process: "1", Before: []Cell{{Route: "a", Counts: Counts{Answers: 40}}}, Target: cells,
			})
		}
		if got := j.Suspicious(); got != test.want {
			t.Errorf("%s: Suspicious is %v, want the opposite", name, got)
		}
	}
}
