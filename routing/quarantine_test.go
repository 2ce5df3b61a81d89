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

func newShardedHarness(t *testing.T, options routing.Options) *harness {
	h := newHarness(t, options)
	h.setTable(60, fiveShards...)
	h.setServers(servers(3, fiveShards...))
	return h
}

// A fan-out under which its servers end: one of each shard, and one that gets it alone. It is
// refused for the time of a review, and for good after that.
func TestRequestsThatCrashServersAreRejected(t *testing.T) {
	h := newShardedHarness(t, routing.Options{Seed: 1})
	r := fanOut(1, fiveShards...)
	first := h.submitTarget(r, "/deadly")
	if ended := h.crashAll(first); ended != len(fiveShards)+1 {
		t.Errorf("%d servers ended", ended)
	}
	if got := h.finished[first]; got.Execution != gather.ExecutionUnknown || got.Reason != gather.ReasonCrashesServers {
		t.Errorf("it ended with %+v", got)
	}
	review := h.finished[h.submitTarget(r, "/deadly")]
	if review.Execution != gather.ExecutionNotRun || review.RetryAfter <= 0 || review.RetryAfter > reviewTime {
		t.Errorf("under review: %+v", review)
	}
	if other := h.submitTarget(r, "/other"); len(h.inFlight(other)) != len(fiveShards) {
		t.Errorf("another request was sent %d times", len(h.inFlight(other)))
	}
	h.advance(reviewTime + time.Millisecond)
	refused := h.finished[h.submitTarget(r, "/deadly")]
	if refused.Execution != gather.ExecutionUnknown || refused.RetryAfter != 0 || refused.Sends != 0 {
		t.Errorf("quarantined: %+v", refused)
	}
	if len(h.quarantined) != 1 || h.repeatRejections != 1 || len(h.published) < 3 || !h.published[len(h.published)-1].Finding.Quarantined {
		t.Errorf("%d records, came again %d times, told %+v", len(h.quarantined), h.repeatRejections, h.published)
	}
}

// A suspected request asks one server, and the others once that one has answered.
func TestSuspectedRequestIsSentAloneAndCleared(t *testing.T) {
	h := newShardedHarness(t, routing.Options{Seed: 1})
	r := fanOut(1, fiveShards...)
	content := quarantine.FingerprintOf("GET", "host", "/suspected", nil)
	h.step(routing.FindingReceived{Finding: quarantine.Finding{Content: content, Crashes: []quarantine.Crash{{ServerIncarnation: 7}}}})
	id := h.submitTarget(r, "/suspected")
	if open := h.inFlight(id); len(open) != 1 {
		t.Fatalf("%d sends", len(open))
	}
	h.complete(h.inFlight(id)[0].Attempt, gather.ReplyDone)
	if open := h.inFlight(id); len(open) != len(fiveShards)-1 {
		t.Errorf("%d sends after an answer", len(open))
	}
	if next := h.submitTarget(r, "/suspected"); len(h.inFlight(next)) != len(fiveShards) {
		t.Errorf("%d sends of a request that was cleared", len(h.inFlight(next)))
	}
	if len(h.published) != 1 || !h.published[0].Finding.Answered {
		t.Errorf("told %+v", h.published)
	}
}

// tenShards are those of a fan-out that tells by itself whether it ends its servers.
var tenShards = []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10"}

// A fan-out ended a copy of each shard within 0.1 s, and others of its content, which came to other
// nodes 50 to 120 ms after the first end, the other copies: of 41 servers that ended on one day 35
// did so under the first two tries (their ends 34 to 124 ms after they were sent, "wide" findings
// only after that). The third end without an answer is told to all nodes now.
func TestUnansweredFanOutsArePublishedImmediately(t *testing.T) {
	newNode := func() *harness {
		h := newHarness(t, routing.Options{Seed: 1})
		h.setTable(60, tenShards...)
		h.setServers(servers(2, tenShards...))
		return h
	}
	h, other := newNode(), newNode()
	r := fanOut(0.5, tenShards...)
	id, running := h.submitTarget(r, "/deadly"), other.submitTarget(r, "/deadly")
	sends := h.inFlight(id)
	for place, send := range sends {
		h.advance(10 * time.Millisecond)
		if place == 3 {
			told := h.published[len(h.published)-1].Finding
			if !told.Wide || len(told.Crashes) != 3 {
				t.Fatalf("after three ends: told %+v", told)
			}
			other.step(routing.FindingReceived{Finding: told})
			for _, node := range []*harness{h, other} {
				if got := node.finished[node.submitTarget(r, "/deadly")]; got.Execution != gather.ExecutionNotRun || got.RetryAfter <= 0 {
					t.Errorf("while the outcome is awaited: %+v", got)
				}
			}
		}
		h.fail(send.Attempt, gather.ServerCrashed)
	}
	if got := h.finished[id]; got.Reason != gather.ReasonCrashesServers || got.Sends != len(tenShards) {
		t.Errorf("it ended with %+v", got)
	}
	before := len(other.inFlight(running))
	other.fail(other.inFlight(running)[0].Attempt, gather.DeliveryUnknown)
	if after := len(other.inFlight(running)); after != before-1 {
		t.Errorf("%d in flight of one that runs elsewhere, %d before one failed", after, before)
	}
	h.advance(reviewTime + time.Millisecond)
	if got := h.finished[h.submitTarget(r, "/deadly")]; got.Execution != gather.ExecutionUnknown || got.Sends != 0 {
		t.Errorf("after the review: %+v", got)
	}
	other.step(routing.FindingReceived{Finding: h.published[len(h.published)-1].Finding})
	if got := other.finished[running]; got.Reason != gather.ReasonCrashesServers {
		t.Errorf("what runs elsewhere: %+v", got)
	}
}

// A server that listened when its connection was lost, and has ended since, counts against the
// request, also when that has its final answer; not where another server has answered it.
func TestLateDetectedCrashesCount(t *testing.T) {
	for what, test := range map[string]struct{ ended, answered, suspected bool }{
		"ended":                 {ended: true, suspected: true},
		"lost":                  {},
		"ended, then answered":  {ended: true, answered: true},
		"lost, answered anyway": {answered: true},
	} {
		t.Run(what, func(t *testing.T) {
			h := newShardedHarness(t, routing.Options{Seed: 1})
			r := single("s1", test.answered) // one that must not be repeated is over with the loss
			id := h.submitTarget(r, "/doubted")
			lost := h.inFlight(id)[0].Attempt
			h.fail(lost, gather.CrashUnconfirmed)
			if test.answered {
				h.complete(h.inFlight(id)[0].Attempt, gather.ReplyDone)
			}
			if _, finished := h.finished[id]; !finished {
				t.Fatal("the request goes on")
			}
			h.step(routing.CrashCheckCompleted{Attempt: lost, Ended: test.ended})
			h.step(routing.CrashCheckCompleted{Attempt: lost, Ended: true}) // told twice
			again := h.submitTarget(r, "/doubted")
			if open := h.inFlight(again); len(open) != 1 || open[0].Alone != test.suspected {
				t.Errorf("%d sends, alone %v; want one, alone %v", len(open), open[0].Alone, test.suspected)
			}
		})
	}
}

// What the registry says holds from the moment at which it is known, and leaves a suspicion.
func TestRecordedContentsAreRejected(t *testing.T) {
	h := newShardedHarness(t, routing.Options{Seed: 1})
	r := single("s1", true)
	content := quarantine.FingerprintOf("GET", "host", "/recorded", nil)
	h.step(routing.QuarantinesChanged{Contents: []quarantine.Fingerprint{content}})
	if got := h.finished[h.submitTarget(r, "/recorded")]; got.Reason != gather.ReasonCrashesServers || got.Sends != 0 {
		t.Errorf("%+v", got)
	}
	h.step(routing.QuarantinesChanged{})
	id := h.submitTarget(r, "/recorded")
	if len(h.inFlight(id)) != 1 {
		t.Fatal("it is not tried")
	}
	h.fail(h.inFlight(id)[0].Attempt, gather.ServerCrashed)
	if got := h.finished[id]; got.Reason != gather.ReasonCrashesServers || len(h.inFlight(id)) > 0 {
		t.Errorf("after its server ended: %+v", got)
	}
}

func TestQuarantineDisabled(t *testing.T) {
	h := newShardedHarness(t, routing.Options{Seed: 1, Disabled: mechanism.Disable(mechanism.Quarantine)})
	r := fanOut(1, fiveShards...)
	h.crashAll(h.submitTarget(r, "/deadly"))
	h.step(routing.QuarantinesChanged{Contents: []quarantine.Fingerprint{quarantine.FingerprintOf("GET", "host", "/deadly", nil)}})
	h.advance(2 * reviewTime)
	if id := h.submitTarget(r, "/deadly"); len(h.inFlight(id)) != len(fiveShards) {
		t.Errorf("%d sends", len(h.inFlight(id)))
	}
}
