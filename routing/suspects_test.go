package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/quarantine"
	"github.com/banksail/banksail/routing"
)

const reviewTime = 100 * time.Millisecond

func newShards(t *testing.T, options routing.Options) *world {
	w := newWorld(t, options)
	w.setTable(60, fiveShards...)
	w.setServers(servers(3, fiveShards...))
	return w
}

// A fan-out under which its servers end: one of each shard, and one that gets it alone. It is
// refused for the time of a review, and for good after that.
func TestRequestsThatEndServersAreRefused(t *testing.T) {
	w := newShards(t, routing.Options{Seed: 1})
	r := fanOut(1, fiveShards...)
	first := w.askFor(r, "/deadly")
	if ended := w.endAll(first); ended != len(fiveShards)+1 {
		t.Errorf("%d servers ended", ended)
	}
	if got := w.finished[first]; got.Execution != gather.ExecutionUnknown || got.Reason != gather.ReasonCrashesServers {
		t.Errorf("it ended with %+v", got)
	}
	review := w.finished[w.askFor(r, "/deadly")]
	if review.Execution != gather.ExecutionNotRun || review.RetryAfter <= 0 || review.RetryAfter > reviewTime {
		t.Errorf("under review: %+v", review)
	}
	if other := w.askFor(r, "/other"); len(w.open(other)) != len(fiveShards) {
		t.Errorf("another request was sent %d times", len(w.open(other)))
	}
	w.pass(reviewTime + time.Millisecond)
	refused := w.finished[w.askFor(r, "/deadly")]
	if refused.Execution != gather.ExecutionUnknown || refused.RetryAfter != 0 || refused.Sends != 0 {
		t.Errorf("quarantined: %+v", refused)
	}
	if len(w.records) != 1 || w.again != 1 || len(w.told) < 3 || !w.told[len(w.told)-1].Finding.Quarantined {
		t.Errorf("%d records, came again %d times, told %+v", len(w.records), w.again, w.told)
	}
}

// A suspected request asks one server, and the others once that one has answered.
func TestSuspectedRequestsGoAloneAndAreCleared(t *testing.T) {
	w := newShards(t, routing.Options{Seed: 1})
	r := fanOut(1, fiveShards...)
	content := quarantine.FingerprintOf("GET", "host", "/suspected", nil)
	w.step(routing.FindingReceived{Finding: quarantine.Finding{Content: content, Crashes: []quarantine.Crash{{ServerIncarnation: 7}}}})
	id := w.askFor(r, "/suspected")
	if open := w.open(id); len(open) != 1 {
		t.Fatalf("%d sends", len(open))
	}
	w.end(w.open(id)[0].Attempt, gather.ReplyDone)
	if open := w.open(id); len(open) != len(fiveShards)-1 {
		t.Errorf("%d sends after an answer", len(open))
	}
	if next := w.askFor(r, "/suspected"); len(w.open(next)) != len(fiveShards) {
		t.Errorf("%d sends of a request that was cleared", len(w.open(next)))
	}
	if len(w.told) != 1 || !w.told[0].Finding.Answered {
		t.Errorf("told %+v", w.told)
	}
}

// tenShards are those of a fan-out that tells by itself whether it ends its servers.
var tenShards = []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10"}

// A fan-out ended a copy of each shard within 0.1 s, and others of its content, which came to other
// nodes 50 to 120 ms after the first end, the other copies: of 41 servers that ended on one day 35
// did so under the first two tries (their ends 34 to 124 ms after they were sent, "wide" findings
// only after that). The third end without an answer is told to all nodes now.
func TestFanOutsThatNobodyAnswersAreToldAtOnce(t *testing.T) {
	newNode := func() *world {
		w := newWorld(t, routing.Options{Seed: 1})
		w.setTable(60, tenShards...)
		w.setServers(servers(2, tenShards...))
		return w
	}
	w, other := newNode(), newNode()
	r := fanOut(0.5, tenShards...)
	id, running := w.askFor(r, "/deadly"), other.askFor(r, "/deadly")
	sends := w.open(id)
	for place, send := range sends {
		w.pass(10 * time.Millisecond)
		if place == 3 {
			told := w.told[len(w.told)-1].Finding
			if !told.Wide || len(told.Crashes) != 3 {
				t.Fatalf("after three ends: told %+v", told)
			}
			other.step(routing.FindingReceived{Finding: told})
			for _, node := range []*world{w, other} {
				if got := node.finished[node.askFor(r, "/deadly")]; got.Execution != gather.ExecutionNotRun || got.RetryAfter <= 0 {
					t.Errorf("while the outcome is awaited: %+v", got)
				}
			}
		}
		w.fail(send.Attempt, gather.ServerCrashed)
	}
	if got := w.finished[id]; got.Reason != gather.ReasonCrashesServers || got.Sends != len(tenShards) {
		t.Errorf("it ended with %+v", got)
	}
	before := len(other.open(running))
	other.fail(other.open(running)[0].Attempt, gather.DeliveryUnknown)
	if after := len(other.open(running)); after != before-1 {
		t.Errorf("%d in flight of one that runs elsewhere, %d before one failed", after, before)
	}
	w.pass(reviewTime + time.Millisecond)
	if got := w.finished[w.askFor(r, "/deadly")]; got.Execution != gather.ExecutionUnknown || got.Sends != 0 {
		t.Errorf("after the review: %+v", got)
	}
	other.step(routing.FindingReceived{Finding: w.told[len(w.told)-1].Finding})
	if got := other.finished[running]; got.Reason != gather.ReasonCrashesServers {
		t.Errorf("what runs elsewhere: %+v", got)
	}
}

// A server that listened when its connection was lost, and has ended since, counts against the
// request, also when that has its final answer; not where another server has answered it.
func TestEndsThatAreSeenLaterCount(t *testing.T) {
	for what, test := range map[string]struct{ ended, answered, suspected bool }{
		"ended":                 {ended: true, suspected: true},
		"lost":                  {},
		"ended, then answered":  {ended: true, answered: true},
		"lost, answered anyway": {answered: true},
	} {
		t.Run(what, func(t *testing.T) {
			w := newShards(t, routing.Options{Seed: 1})
			r := single("s1", test.answered) // one that must not be repeated is over with the loss
			id := w.askFor(r, "/doubted")
			lost := w.open(id)[0].Attempt
			w.fail(lost, gather.CrashUnconfirmed)
			if test.answered {
				w.end(w.open(id)[0].Attempt, gather.ReplyDone)
			}
			if _, finished := w.finished[id]; !finished {
				t.Fatal("the request goes on")
			}
			w.step(routing.CrashCheckCompleted{Attempt: lost, Ended: test.ended})
			w.step(routing.CrashCheckCompleted{Attempt: lost, Ended: true}) // told twice
			again := w.askFor(r, "/doubted")
			if open := w.open(again); len(open) != 1 || open[0].Alone != test.suspected {
				t.Errorf("%d sends, alone %v; want one, alone %v", len(open), open[0].Alone, test.suspected)
			}
		})
	}
}

// What the registry says holds from the moment at which it is known, and leaves a suspicion.
func TestRecordedContentsAreRefused(t *testing.T) {
	w := newShards(t, routing.Options{Seed: 1})
	r := single("s1", true)
	content := quarantine.FingerprintOf("GET", "host", "/recorded", nil)
	w.step(routing.QuarantinesChanged{Contents: []quarantine.Fingerprint{content}})
	if got := w.finished[w.askFor(r, "/recorded")]; got.Reason != gather.ReasonCrashesServers || got.Sends != 0 {
		t.Errorf("%+v", got)
	}
	w.step(routing.QuarantinesChanged{})
	id := w.askFor(r, "/recorded")
	if len(w.open(id)) != 1 {
		t.Fatal("it is not tried")
	}
	w.fail(w.open(id)[0].Attempt, gather.ServerCrashed)
	if got := w.finished[id]; got.Reason != gather.ReasonCrashesServers || len(w.open(id)) > 0 {
		t.Errorf("after its server ended: %+v", got)
	}
}

func TestWithoutTheMechanismNothingIsRefused(t *testing.T) {
	w := newShards(t, routing.Options{Seed: 1, Disabled: mechanism.Disable(mechanism.Quarantine)})
	r := fanOut(1, fiveShards...)
	w.endAll(w.askFor(r, "/deadly"))
	w.step(routing.QuarantinesChanged{Contents: []quarantine.Fingerprint{quarantine.FingerprintOf("GET", "host", "/deadly", nil)}})
	w.pass(2 * reviewTime)
	if id := w.askFor(r, "/deadly"); len(w.open(id)) != len(fiveShards) {
		t.Errorf("%d sends", len(w.open(id)))
	}
}
