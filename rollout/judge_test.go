package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// reportFeed reports the answers seen by a number of simulated nodes to a judge every half second.
type reportFeed struct {
	judge    *Judge
	random   *rand.Rand
	evidence map[string]*Evidence
	now      time.Duration
}

func newReportFeed(seed uint64, nodes int) *reportFeed {
	r := &reportFeed{judge: NewJudge(), random: rand.New(rand.NewPCG(seed, 9)), evidence: make(map[string]*Evidence)}
	for number := range nodes {
		r.evidence[fmt.Sprint("node-", number)] = new(Evidence)
	}
	return r
}

// drawAnswer returns Failed or Slow with the given probabilities, and Good otherwise.
func (r *reportFeed) drawAnswer(failed, slow float64) AnswerQuality {
	switch value := r.random.Float64(); {
	case value < failed:
		return Failed
	case value < failed+slow:
		return Slow
	default:
		return Good
	}
}

// round adds answers of the previous versions and of the target on each node and reports them.
func (r *reportFeed) round(before, target int, answer func(node, route string, server int) AnswerQuality) {
	r.now += 500 * time.Millisecond
	for node, evidence := range r.evidence {
		for range before {
			evidence.Before(fmt.Sprint("route-", r.random.IntN(2)), r.drawAnswer(0.004, 0.06))
		}
		for range target {
			route, server := fmt.Sprint("route-", r.random.IntN(2)), r.random.IntN(3)
			evidence.Target(route, fmt.Sprint("server-", server), answer(node, route, server))
		}
		targets, befores := evidence.Cells()
		r.judge.AddReport(r.now, Report{Node: node, Process: "1", Target: targets, Before: befores})
	}
}

func (r *reportFeed) healthyAnswer(string, string, int) AnswerQuality {
	return r.drawAnswer(0.004, 0.06)
}

// verdictAfter returns the verdict after a number of rounds with nine nodes.
func verdictAfter(seed uint64, rounds int, answer func(r *reportFeed) func(node, route string, server int) AnswerQuality) Verdict {
	r := newReportFeed(seed, 9)
	for range rounds {
		r.round(4, 1, answer(r))
	}
	verdict, _ := r.judge.Verdict()
	return verdict
}

// Each kind of bad version must be detected. A single faulty server or node must not be taken for a
// bad version.
func TestVerdicts(t *testing.T) {
	const seeds, rounds = 200, 12
	onRoute := func(answer AnswerQuality, part float64) func(r *reportFeed) func(string, string, int) AnswerQuality {
		return func(r *reportFeed) func(string, string, int) AnswerQuality {
			return func(_, route string, _ int) AnswerQuality {
				if route == "route-1" && r.random.Float64() < part {
					return answer
				}
				return r.healthyAnswer("", "", 0)
			}
		}
	}
	for name, test := range map[string]struct {
		answer   func(r *reportFeed) func(node, route string, server int) AnswerQuality
		want     Verdict
		mistakes int // largest number of seeds with another verdict
	}{
		"good": {func(r *reportFeed) func(string, string, int) AnswerQuality { return r.healthyAnswer }, Healthy, 4},
		"a quarter fails": {func(r *reportFeed) func(string, string, int) AnswerQuality {
			return func(string, string, int) AnswerQuality { return r.drawAnswer(0.25, 0.06) }
		}, Bad, 2},
		"slow": {func(r *reportFeed) func(string, string, int) AnswerQuality {
			return func(string, string, int) AnswerQuality { return r.drawAnswer(0.004, 0.9) }
		}, Bad, 0},
		"half fails on a route": {onRoute(Failed, 0.5), Bad, 1},
		"slow on a route":       {onRoute(Slow, 0.9), Bad, 1},
		"one server fails always": {func(r *reportFeed) func(string, string, int) AnswerQuality {
			return func(_, _ string, server int) AnswerQuality {
				if server == 1 {
					return Failed
				}
				return r.healthyAnswer("", "", 0)
			}
		}, Healthy, 6},
		"one node sees failures alone": {func(r *reportFeed) func(string, string, int) AnswerQuality {
			return func(node, _ string, _ int) AnswerQuality {
				if node == "node-3" {
					return Failed
				}
				return r.healthyAnswer("", "", 0)
			}
		}, Healthy, 6},
	} {
		wrong := 0
		for seed := range uint64(seeds) {
			if verdictAfter(seed, rounds, test.answer) != test.want {
				wrong++
			}
		}
		if wrong > test.mistakes {
			t.Errorf("%s: %d of %d seeds have another verdict than %d", name, wrong, seeds, test.want)
		}
	}
}

// A version that turns bad after many good answers must be detected as quickly as one that is bad from
// the start.
func TestLateDefectIsDetectedQuickly(t *testing.T) {
	for seed := range uint64(50) {
		r := newReportFeed(seed, 9)
		for range 30 {
			r.round(4, 1, r.healthyAnswer)
		}
		for rounds := 1; ; rounds++ {
			r.round(4, 1, func(string, string, int) AnswerQuality { return r.drawAnswer(0.5, 0) })
			if verdict, _ := r.judge.Verdict(); verdict == Bad {
				break
			}
			if rounds > 4 {
				t.Fatalf("seed %d: bad version not detected after %d rounds", seed, rounds)
			}
		}
	}
}

// Reports that arrive twice or late must count once, and reports with impossible counts not at all.
func TestRepeatedReportsCountOnce(t *testing.T) {
	judge := NewJudge()
	report := func(answers, failed int) {
		judge.AddReport(time.Second, Report{Node: "n", Process: "1", Target: []Cell{
			{Route: "r", Server: "s", Counts: Counts{Answers: answers, Failed: failed}},
		}})
	}
	for range 5 {
		report(4, 1)
	}
	report(2, 1) // arrives late
	report(6, 9) // more failures than answers
	if answers, bad := judge.Answers(); answers != 4 || bad != 1 || judge.InvalidReports() != 2 {
		t.Errorf("%d answers, %d bad, %d invalid reports; want 4, 1, 2", answers, bad, judge.InvalidReports())
	}
	if verdict, reason := judge.Verdict(); verdict != Undecided || reason == "" {
		t.Errorf("verdict %d (%s), want Undecided", verdict, reason)
	}
}

// The verdict must be Undecided while the target has no answers on a route with many requests.
func TestBusyRouteWithoutTargetAnswersIsUndecided(t *testing.T) {
	judge := NewJudge()
	judge.AddReport(time.Second, Report{Node: "n", Process: "1",
		Before: []Cell{{Route: "a", Counts: Counts{Answers: 60}}, {Route: "b", Counts: Counts{Answers: 40}}},
		Target: []Cell{{Route: "a", Server: "s", Counts: Counts{Answers: 20}}},
	})
	if verdict, reason := judge.Verdict(); verdict != Undecided {
		t.Errorf("verdict %d (%s), want Undecided", verdict, reason)
	}
}
