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

// A fan-out request that crashes every server that runs it: one server per shard, and one more
// that runs it alone. It must be rejected during the review and for good afterwards.
func TestRequestsThatCrashServersAreRejected(t *testing.T) {
	h := newShardedHarness(t, routing.Options{Seed: 1})
	r := fanOut(1, fiveShards...)
	first := h.submitTarget(r, "/deadly")
	if crashed := h.crashAll(first); crashed != len(fiveShards)+1 {
		t.Errorf("%d servers crashed, want one per shard and one more", crashed)
	}
	if got := h.finished[first]; got.Execution != gather.ExecutionUnknown || got.Reason != gather.ReasonCrashesServers {
		t.Errorf("outcome %+v, want execution unknown because it crashes servers", got)
	}
	review := h.finished[h.submitTarget(r, "/deadly")]
	if review.Execution != gather.ExecutionNotRun || review.RetryAfter <= 0 || review.RetryAfter > reviewTime {
		t.Errorf("under review: outcome %+v", review)
	}
	if other := h.submitTarget(r, "/other"); len(h.inFlight(other)) != len(fiveShards) {
		t.Errorf("another content has %d sends in flight, want one per shard", len(h.inFlight(other)))
	}
	h.advance(reviewTime + time.Millisecond)
	rejected := h.finished[h.submitTarget(r, "/deadly")]
	if rejected.Execution != gather.ExecutionUnknown || rejected.RetryAfter != 0 || rejected.Sends != 0 {
		t.Errorf("quarantined: outcome %+v", rejected)
	}
	if len(h.quarantined) != 1 || h.repeatRejections != 1 || len(h.published) < 3 || !h.published[len(h.published)-1].Finding.Quarantined {
		t.Errorf("%d quarantines recorded, %d repeat rejections, published %+v", len(h.quarantined), h.repeatRejections, h.published)
	}
}

// A suspected request must be sent to one server first, and to the others once that one has
// answered.
func TestSuspectedRequestIsSentAloneAndCleared(t *testing.T) {
	h := newShardedHarness(t, routing.Options{Seed: 1})
	r := fanOut(1, fiveShards...)
	fingerprint := quarantine.FingerprintOf("GET", "host", "/suspected", nil)
	h.step(routing.FindingReceived{Finding: quarantine.Finding{Content: fingerprint, Crashes: []quarantine.Crash{{ServerIncarnation: 7}}}})
	id := h.submitTarget(r, "/suspected")
	if open := h.inFlight(id); len(open) != 1 {
		t.Fatalf("%d sends of a suspected request, want 1", len(open))
	}
	h.complete(h.inFlight(id)[0].Attempt, gather.ReplyDone)
	if open := h.inFlight(id); len(open) != len(fiveShards)-1 {
		t.Errorf("%d sends after the first answer, want the remaining shards", len(open))
	}
	if next := h.submitTarget(r, "/suspected"); len(h.inFlight(next)) != len(fiveShards) {
		t.Errorf("%d sends of a cleared request, want one per shard", len(h.inFlight(next)))
	}
	if len(h.published) != 1 || !h.published[0].Finding.Answered {
		t.Errorf("published %+v, want one answered finding", h.published)
	}
}

// tenShards are enough shards for a fan-out to prove by itself that it crashes servers.
var tenShards = []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10"}

// Guards against late findings on fan-outs. A fan-out crashed one replica of each shard within 0.1
// s, and requests with the same fingerprint that reached other nodes 50 to 120 ms after the first crash
// crashed the other replicas: 35 of 41 servers that crashed in one day did so under the first two
// attempts (34 to 124 ms after they were sent), before the finding was sent to all nodes. The
// third crash without an answer must be published to all nodes immediately.
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
	for i, send := range sends {
		h.advance(10 * time.Millisecond)
		if i == 3 {
			finding := h.published[len(h.published)-1].Finding
			if !finding.Wide || len(finding.Crashes) != 3 {
				t.Fatalf("after three crashes: published %+v", finding)
			}
			other.step(routing.FindingReceived{Finding: finding})
			for _, node := range []*harness{h, other} {
				if got := node.finished[node.submitTarget(r, "/deadly")]; got.Execution != gather.ExecutionNotRun || got.RetryAfter <= 0 {
					t.Errorf("while the outcome is pending: %+v", got)
				}
			}
		}
		h.fail(send.Attempt, gather.ServerCrashed)
	}
	if got := h.finished[id]; got.Reason != gather.ReasonCrashesServers || got.Sends != len(tenShards) {
		t.Errorf("outcome %+v, want one send per shard", got)
	}
	before := len(other.inFlight(running))
	other.fail(other.inFlight(running)[0].Attempt, gather.DeliveryUnknown)
	if after := len(other.inFlight(running)); after != before-1 {
		t.Errorf("%d attempts in flight on the other node, %d before one failed; want no retry", after, before)
	}
	h.advance(reviewTime + time.Millisecond)
	if got := h.finished[h.submitTarget(r, "/deadly")]; got.Execution != gather.ExecutionUnknown || got.Sends != 0 {
		t.Errorf("after the review: outcome %+v", got)
	}
	other.step(routing.FindingReceived{Finding: h.published[len(h.published)-1].Finding})
	if got := other.finished[running]; got.Reason != gather.ReasonCrashesServers {
		t.Errorf("request in flight on the other node: outcome %+v", got)
	}
}

// If a server still listened when its connection was lost but terminated later, this must count
// against the request even after its final answer, unless another server has answered the request.
func TestLateDetectedCrashesCount(t *testing.T) {
	for name, test := range map[string]struct{ ended, answered, suspected bool }{
		"ended":                 {ended: true, suspected: true},
		"lost":                  {},
		"ended, then answered":  {ended: true, answered: true},
		"lost, answered anyway": {answered: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newShardedHarness(t, routing.Options{Seed: 1})
			r := single("s1", test.answered) // a non-repeatable request ends with the loss
			id := h.submitTarget(r, "/doubted")
			lost := h.inFlight(id)[0].Attempt
			h.fail(lost, gather.CrashUnconfirmed)
			if test.answered {
				h.complete(h.inFlight(id)[0].Attempt, gather.ReplyDone)
			}
			if _, finished := h.finished[id]; !finished {
				t.Fatal("the request has no final answer")
			}
			h.step(routing.CrashCheckCompleted{Attempt: lost, Crashed: test.ended})
			h.step(routing.CrashCheckCompleted{Attempt: lost, Crashed: true}) // a repeated report is ignored
			repeated := h.submitTarget(r, "/doubted")
			if open := h.inFlight(repeated); len(open) != 1 || open[0].Alone != test.suspected {
				t.Errorf("%d sends, alone %v; want one, alone %v", len(open), open[0].Alone, test.suspected)
			}
		})
	}
}

// A quarantine recorded in the registry must apply as soon as it is known; when the record is
// removed, the fingerprint remains suspected.
func TestRecordedFingerprintsAreRejected(t *testing.T) {
	h := newShardedHarness(t, routing.Options{Seed: 1})
	r := single("s1", true)
	fingerprint := quarantine.FingerprintOf("GET", "host", "/recorded", nil)
	h.step(routing.QuarantinesChanged{Contents: []quarantine.Fingerprint{fingerprint}})
	if got := h.finished[h.submitTarget(r, "/recorded")]; got.Reason != gather.ReasonCrashesServers || got.Sends != 0 {
		t.Errorf("recorded content: outcome %+v", got)
	}
	h.step(routing.QuarantinesChanged{})
	id := h.submitTarget(r, "/recorded")
	if len(h.inFlight(id)) != 1 {
		t.Fatal("the request is not sent after the record was removed")
	}
	h.fail(h.inFlight(id)[0].Attempt, gather.ServerCrashed)
	if got := h.finished[id]; got.Reason != gather.ReasonCrashesServers || len(h.inFlight(id)) > 0 {
		t.Errorf("after its server crashed: outcome %+v", got)
	}
}

func TestQuarantineDisabled(t *testing.T) {
	h := newShardedHarness(t, routing.Options{Seed: 1, Disabled: mechanism.Disable(mechanism.Quarantine)})
	r := fanOut(1, fiveShards...)
	h.crashAll(h.submitTarget(r, "/deadly"))
	h.step(routing.QuarantinesChanged{Contents: []quarantine.Fingerprint{quarantine.FingerprintOf("GET", "host", "/deadly", nil)}})
	h.advance(2 * reviewTime)
	if id := h.submitTarget(r, "/deadly"); len(h.inFlight(id)) != len(fiveShards) {
		t.Errorf("%d sends with quarantine disabled, want one per shard", len(h.inFlight(id)))
	}
}
