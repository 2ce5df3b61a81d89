package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/routing"
)

// disconnectAll lets every server of all shards be out of reach, and bringBack lets them be reached.
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

// Eight nodes lacked the same shards, as their servers had ended, and each told callers to come
// back in 10 ms, as if another one served: 1,233 times on one day. Where no other node is known
// to serve, a caller is told when the servers are expected back, as learned from outages
// before, spread, and not later than it waits.
func TestRetryAfterFollowsExpectedOutageDuration(t *testing.T) {
	const outage = 3 * time.Second
	h := newHarness(t, routing.Options{})
	all := servers(2, fiveShards...)
	h.setServers(all)
	r := fanOut(0.6, fiveShards...)
	r.Timeout = 20 * time.Second
	h.setRoutes(r)
	refused := func(when string, least, most time.Duration) {
		t.Helper()
		told := make(map[time.Duration]struct{})
		for range 10 {
			got, done := h.finished[h.submit(r)]
			if !done || got.Execution != gather.ExecutionNotRun || got.Reason != gather.ReasonNoServer || got.RetryElsewhere ||
				got.RetryAfter < least || got.RetryAfter > most {
				t.Errorf("%s: %v %+v, want from %s to %s", when, done, got, least, most)
			}
			told[got.RetryAfter] = struct{}{}
		}
		if len(told) < 5 {
			t.Errorf("%s: callers come back at the same moments: %v", when, told)
		}
	}
	h.disconnectAll(all)
	refused("in the first outage", routing.DefaultOverloadRetryAfter, routing.DefaultOverloadRetryAfter*5/4)
	h.advance(outage)
	refused("when it has lasted longer than supposed", outage/4, outage*5/16)
	h.reconnectAll(all)
	h.advance(time.Minute)
	h.disconnectAll(all)
	refused("in the second", outage, outage*5/4)
	h.advance(time.Second)
	refused("a second later", outage-time.Second, (outage-time.Second)*5/4)
	h.step(routing.PeerAvailabilityChanged{Available: true})
	if got := h.finished[h.submit(r)]; !got.RetryElsewhere || got.RetryAfter != routing.DefaultRedirectRetryAfter {
		t.Errorf("another node serves: %+v", got)
	}
}

// Servers at whose addresses nobody listens are reached by no other node either: this one is not cut
// off, and sends nobody elsewhere. Behind a cut that refuses, where next to none is reached, it is.
func TestConnectionRefusalIsNotLocalDisconnection(t *testing.T) {
	for lost, cutOff := range map[int]bool{4: false, 5: true} {
		h := newHarness(t, routing.Options{})
		h.step(routing.PeerAvailabilityChanged{Available: true})
		all := servers(2, fiveShards...)
		h.setServers(all)
		r := fanOut(0.6, fiveShards...)
		h.setRoutes(r)
		for _, s := range all[:2*lost] {
			h.step(routing.ConnectFailed{Server: s.Incarnation(), Refused: true})
		}
		got := h.finished[h.submit(r)]
		if got.Reason != gather.ReasonNoServer || h.cannotServe != cutOff || got.RetryElsewhere != cutOff {
			t.Errorf("%d shards lost: cut off %v, %+v", lost, h.cannotServe, got)
		}
		for _, s := range all {
			h.step(routing.Connected{Server: s.Incarnation()})
		}
		if h.cannotServe {
			t.Error("the node still says that it is cut off")
		}
	}
}

// What is told lies within bounds, whatever was seen before.
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
				t.Errorf("outages of %s: %s", outage, got.RetryAfter)
			}
			h.reconnectAll(all)
			h.advance(time.Second)
		}
	}
}
