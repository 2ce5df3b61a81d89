package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/routing"
)

// disconnectAll reports all servers as unreachable, and reconnectAll as reachable again.
func (h *harness) disconnectAll(all []discovery.Server) {
	for _, s := range all {
		h.step(routing.ConnectFailed{Server: s.Incarnation()})
	}
}

func (h *harness) reconnectAll(all []discovery.Server) {
	for _, s := range all {
		h.step(routing.Connected{Server: s.Incarnation()})
	}
}

// Guards against a retry storm: eight nodes lacked the same shards after their servers had crashed,
// and each directed callers to retry elsewhere in 10 ms (1,233 times in one day). If no other node is
// known to serve, the retry delay must follow the expected end of the outage, as learned from
// earlier outages, with jitter and no longer than the caller waits.
func TestRetryAfterFollowsExpectedOutageDuration(t *testing.T) {
	const outage = 3 * time.Second
	h := newHarness(t, routing.Options{})
	all := servers(2, fiveShards...)
	h.setServers(all)
	r := fanOut(0.6, fiveShards...)
	r.Timeout = 20 * time.Second
	h.setRoutes(r)
	checkRejection := func(when string, minRetryAfter, maxRetryAfter time.Duration) {
		t.Helper()
		retryAfters := make(map[time.Duration]struct{})
		for range 10 {
			got, done := h.finished[h.submit(r)]
			if !done || got.Execution != gather.ExecutionNotRun || got.Reason != gather.ReasonNoServer || got.RetryElsewhere ||
				got.RetryAfter < minRetryAfter || got.RetryAfter > maxRetryAfter {
				t.Errorf("%s: finished %v, outcome %+v, want RetryAfter from %s to %s", when, done, got, minRetryAfter, maxRetryAfter)
			}
			retryAfters[got.RetryAfter] = struct{}{}
		}
		if len(retryAfters) < 5 {
			t.Errorf("%s: too few distinct retry delays: %v", when, retryAfters)
		}
	}
	h.disconnectAll(all)
	checkRejection("in the first outage", routing.DefaultOverloadRetryAfter, routing.DefaultOverloadRetryAfter*5/4)
	h.advance(outage)
	checkRejection("when it has lasted longer than supposed", outage/4, outage*5/16)
	h.reconnectAll(all)
	h.advance(time.Minute)
	h.disconnectAll(all)
	checkRejection("in the second", outage, outage*5/4)
	h.advance(time.Second)
	checkRejection("a second later", outage-time.Second, (outage-time.Second)*5/4)
	h.step(routing.PeerAvailabilityChanged{Available: true})
	if got := h.finished[h.submit(r)]; !got.RetryElsewhere || got.RetryAfter != routing.DefaultRedirectRetryAfter {
		t.Errorf("while another node serves: outcome %+v", got)
	}
}

// Servers that refuse connections are unreachable for all nodes, so the node must neither report
// itself unable to serve nor redirect callers. It must do both if it reaches almost no server, as
// behind a network partition that rejects connections.
func TestConnectionRefusalIsNotLocalDisconnection(t *testing.T) {
	for lostShards, cannotServe := range map[int]bool{4: false, 5: true} {
		h := newHarness(t, routing.Options{})
		h.step(routing.PeerAvailabilityChanged{Available: true})
		all := servers(2, fiveShards...)
		h.setServers(all)
		r := fanOut(0.6, fiveShards...)
		h.setRoutes(r)
		for _, s := range all[:2*lostShards] {
			h.step(routing.ConnectFailed{Server: s.Incarnation(), Refused: true})
		}
		got := h.finished[h.submit(r)]
		if got.Reason != gather.ReasonNoServer || h.cannotServe != cannotServe || got.RetryElsewhere != cannotServe {
			t.Errorf("%d shards lost: cannotServe %v, outcome %+v", lostShards, h.cannotServe, got)
		}
		for _, s := range all {
			h.step(routing.Connected{Server: s.Incarnation()})
		}
		if h.cannotServe {
			t.Error("the node still reports that it cannot serve")
		}
	}
}

// The retry delay must stay within its limits whatever the earlier outages were.
func TestOutageRetryAfterIsBounded(t *testing.T) {
	for _, outage := range []time.Duration{time.Millisecond, time.Hour} {
		h := newHarness(t, routing.Options{})
		all := servers(1, fiveShards...)
		h.setServers(all)
		r := fanOut(1, fiveShards...)
		h.setRoutes(r)
		for range 3 {
			h.disconnectAll(all)
			h.advance(outage)
			got := h.finished[h.submit(r)]
			if got.RetryAfter < 250*time.Millisecond || got.RetryAfter > 5*time.Second*5/4 {
				t.Errorf("after outages of %s: RetryAfter %s", outage, got.RetryAfter)
			}
			h.reconnectAll(all)
			h.advance(time.Second)
		}
	}
}
