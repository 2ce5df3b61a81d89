package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/routing"
)

// Where most parts take longer than the share of the aim after which a hedge is sent, as
// on a node that is late by itself, most parts are not hedged.
func TestUsualLatencyIsNotHedged(t *testing.T) {
	const usual = 60 * time.Millisecond // of an aim of 100, of which 30 are awaited
	w := newWorld(t, routing.Options{})
	w.setServers(servers(2, "s1"))
	w.setTable(60, "s1")
	r := single("s1", true)
	for range 40 { // answers spread around what is usual
		for _, latency := range []time.Duration{usual - 10*time.Millisecond, usual, usual + 10*time.Millisecond} {
			id := w.ask(r)
			w.pass(latency)
			for _, send := range w.open(id) {
				w.end(send.Attempt, gather.ReplyDone)
			}
			w.pass(20 * time.Millisecond)
		}
	}
	hedged := 0
	for round := range 30 {
		id := w.ask(r)
		w.pass(usual - 10*time.Millisecond + time.Duration(round%3)*10*time.Millisecond)
		if len(w.open(id)) > 1 {
			hedged++
		}
		for _, send := range w.open(id) {
			w.end(send.Attempt, gather.ReplyDone)
		}
		w.pass(20 * time.Millisecond)
	}
	if hedged > 12 {
		t.Errorf("%d of 30 requests of usual latency are hedged", hedged)
	}
}
