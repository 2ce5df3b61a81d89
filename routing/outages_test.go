package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/routing"
)

// loseAll lets every server of all shards be out of reach, and bringBack lets them be reached.
func (w *world) loseAll(all []discovery.Server) {
	for _, s := range all {
		w.step(routing.ConnectFailed{Server: s.Incarnation()})
	}
}

func (w *world) bringBack(all []discovery.Server) {
	for _, s := range all {
		w.step(routing.Connected{Server: s.Incarnation()})
	}
}

// Eight nodes lacked the same shards, as their servers had ended, and each told callers to come
// back in 10 ms, as if another one served: 1,233 times on one day. Where no other node is known
// to serve, a caller is told when the servers are expected back, as learned from outages
// before, spread, and not later than it waits.
func TestCallersAreToldWhenServersAreExpectedBack(t *testing.T) {
	const outage = 3 * time.Second
	w := newWorld(t, routing.Options{})
	all := servers(2, fiveShards...)
	w.setServers(all)
	r := fanOut(0.6, fiveShards...)
	r.Timeout = 20 * time.Second
	w.setRoutes(r)
	refused := func(when string, least, most time.Duration) {
		t.Helper()
		told := make(map[time.Duration]struct{})
		for range 10 {
			got, done := w.finished[w.ask(r)]
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
	w.loseAll(all)
	refused("in the first outage", routing.DefaultOverloadRetryAfter, routing.DefaultOverloadRetryAfter*5/4)
	w.pass(outage)
	refused("when it has lasted longer than supposed", outage/4, outage*5/16)
	w.bringBack(all)
	w.pass(time.Minute)
	w.loseAll(all)
	refused("in the second", outage, outage*5/4)
	w.pass(time.Second)
	refused("a second later", outage-time.Second, (outage-time.Second)*5/4)
	w.step(routing.PeerAvailabilityChanged{Available: true})
	if got := w.finished[w.ask(r)]; !got.RetryElsewhere || got.RetryAfter != routing.DefaultRedirectRetryAfter {
		t.Errorf("another node serves: %+v", got)
	}
}

// Servers at whose addresses nobody listens are reached by no other node either: this one is not cut
// off, and sends nobody elsewhere. Behind a cut that refuses, where next to none is reached, it is.
func TestServersThatRefuseAreReachedByNobody(t *testing.T) {
	for lost, cutOff := range map[int]bool{4: false, 5: true} {
		w := newWorld(t, routing.Options{})
		w.step(routing.PeerAvailabilityChanged{Available: true})
		all := servers(2, fiveShards...)
		w.setServers(all)
		r := fanOut(0.6, fiveShards...)
		w.setRoutes(r)
		for _, s := range all[:2*lost] {
			w.step(routing.ConnectFailed{Server: s.Incarnation(), Refused: true})
		}
		got := w.finished[w.ask(r)]
		if got.Reason != gather.ReasonNoServer || w.unable != cutOff || got.RetryElsewhere != cutOff {
			t.Errorf("%d shards lost: cut off %v, %+v", lost, w.unable, got)
		}
		for _, s := range all {
			w.step(routing.Connected{Server: s.Incarnation()})
		}
		if w.unable {
			t.Error("the node still says that it is cut off")
		}
	}
}

// What is told lies within bounds, whatever was seen before.
func TestExpectedReturnsAreBounded(t *testing.T) {
	for _, outage := range []time.Duration{time.Millisecond, time.Hour} {
		w := newWorld(t, routing.Options{})
		all := servers(1, fiveShards...)
		w.setServers(all)
		r := fanOut(1, fiveShards...)
		w.setRoutes(r)
		for range 3 {
			w.loseAll(all)
			w.pass(outage)
			got := w.finished[w.ask(r)]
			if got.RetryAfter < 250*time.Millisecond || got.RetryAfter > 5*time.Second*5/4 {
				t.Errorf("outages of %s: %s", outage, got.RetryAfter)
			}
			w.bringBack(all)
			w.pass(time.Second)
		}
	}
}
