package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/routing"
)

const (
	// darkTime is the time without an answer after which a zone is set aside.
	darkTime = 300 * time.Millisecond
	// answerTime is how long servers take in these tests.
	answerTime = 5 * time.Millisecond
)

// fiveShards are services with servers in zones a and b.
var fiveShards = []string{"s1", "s2", "s3", "s4", "s5"}

// newTwoZones is a world in which a fan-out over five shards is usual.
func newTwoZones(t *testing.T) *world {
	t.Helper()
	w := newWorld(t, routing.Options{})
	w.setServers(servers(2, fiveShards...))
	w.setTable(60, fiveShards...)
	w.warm(fanOut(1, fiveShards...), answerTime)
	return w
}

// answerOutside ends the attempts that are open at servers of other zones.
func (w *world) answerOutside(zone string) {
	for _, send := range w.order {
		if _, open := w.sends[send.Attempt]; open && send.Server.Zone != zone {
			w.end(send.Attempt, gather.ReplyDone)
		}
	}
}

// passAnswering lets time pass, while servers of other zones than the one given answer.
func (w *world) passAnswering(duration time.Duration, but string) {
	for until := w.now + duration; w.now < until; {
		w.pass(answerTime)
		w.answerOutside(but)
	}
}

// A node that was frozen, or that hears nothing from anywhere, blames no zone.
func TestOwnDelaysMakeNoZoneDark(t *testing.T) {
	w := newTwoZones(t)
	r := fanOut(1, fiveShards...)
	w.ask(r)
	w.pass(2 * darkTime) // nobody answers
	if len(w.reached) != 0 {
		t.Errorf("nothing was heard at all, and %v are set aside", w.reached)
	}
	w = newTwoZones(t)
	w.ask(r)
	w.pass(20 * time.Millisecond)
	w.answerOutside("a")
	w.now += 10 * darkTime // the node stands still, and its timers come late
	w.step(routing.TimerFired{})
	if len(w.reached) != 0 {
		t.Errorf("the node stood still, and %v are set aside", w.reached)
	}
}

// A zone from which nothing comes gets no more requests, and what it was sent goes
// elsewhere; a few of its servers are tried until one can be reached.
func TestDarkZonesAreSetAside(t *testing.T) {
	w := newTwoZones(t)
	r := fanOut(1, fiveShards...)
	first := w.ask(r)
	w.passAnswering(darkTime+20*time.Millisecond, "a")
	if got := w.finished[first]; got.Execution != gather.ExecutionDone {
		t.Fatalf("the first request: %+v", got)
	}
	if len(w.reached) == 0 || len(w.reached) > 3 {
		t.Fatalf("%d servers are tried", len(w.reached))
	}
	for range 10 {
		id := w.ask(r)
		for _, send := range w.open(id) {
			if send.Server.Zone == "a" {
				t.Fatalf("%s is asked while its zone is dark", send.Server.ID)
			}
			w.end(send.Attempt, gather.ReplyDone)
		}
		w.pass(50 * time.Millisecond)
	}
	w.step(routing.Connected{Server: w.reached[0].Incarnation()})
	w.pass(10 * time.Second) // what was learned of the servers fades
	used := false
	for range 10 {
		id := w.ask(r)
		for _, send := range w.open(id) {
			used = used || send.Server.Zone == "a"
			w.end(send.Attempt, gather.ReplyDone)
		}
	}
	if !used {
		t.Error("the zone is not asked after it was reached")
	}
}

// A zone whose servers are all slow, or of which few are silent, is not dark.
func TestSlowZonesAreNotDark(t *testing.T) {
	w := newTwoZones(t)
	r := fanOut(1, fiveShards...)
	for range 10 {
		id := w.ask(r)
		w.pass(200 * time.Millisecond)
		for _, send := range w.open(id) {
			w.end(send.Attempt, gather.ReplyDone)
		}
	}
	for range 10 {
		id := w.ask(r)
		for place, send := range w.open(id) {
			if place >= 3 {
				w.end(send.Attempt, gather.ReplyDone)
			}
		}
		w.pass(darkTime)
		for _, send := range w.open(id) {
			w.end(send.Attempt, gather.ReplyDone)
		}
	}
	if len(w.reached) != 0 {
		t.Errorf("%v are set aside", w.reached)
	}
}

// A request that may not be repeated is awaited, also where its server's zone is dark.
func TestDarkZonesRepeatNothing(t *testing.T) {
	w := newTwoZones(t)
	id := w.ask(single("s1", false))
	w.ask(fanOut(1, fiveShards...))
	w.passAnswering(darkTime+20*time.Millisecond, "a")
	if len(w.reached) == 0 {
		t.Fatal("the zone is not dark")
	}
	if sends := w.finished[id].Sends; sends > 1 || len(w.open(id)) != 1 {
		t.Errorf("%d sends, %d open", sends, len(w.open(id)))
	}
}

// oneZoneEach are servers of which each shard has one, in zone a but for the last.
func oneZoneEach() []discovery.Server {
	var all []discovery.Server
	for place, name := range fiveShards {
		zone := "a"
		if place == len(fiveShards)-1 {
			zone = "b"
		}
		all = append(all, discovery.Server{ID: name + "-only", Service: name, Address: "x", Slots: 2, Zone: zone})
	}
	return all
}

// A node that can't reach enough shards says so, and refuses at once, before anything
// runs, what other nodes can serve; it serves again as soon as the zone is reached.
func TestNodeThatIsCutOffRefusesAtOnce(t *testing.T) {
	w := newWorld(t, routing.Options{})
	w.step(routing.PeerAvailabilityChanged{Available: true})
	w.setServers(oneZoneEach())
	w.setTable(60, fiveShards...)
	r := fanOut(0.6, fiveShards...)
	w.setRoutes(r)
	w.warm(r, answerTime)
	first := w.ask(r)
	w.passAnswering(darkTime+20*time.Millisecond, "a")
	if !w.unable {
		t.Fatal("the node does not say that it is cut off")
	}
	if got, done := w.finished[first]; !done || got.Execution == gather.ExecutionDone {
		t.Errorf("the request that found it out is not answered at once: %+v", got)
	}
	before := len(w.order)
	got, done := w.finished[w.ask(r)]
	if !done || got.Execution != gather.ExecutionNotRun || got.Reason != gather.ReasonNoServer || !got.RetryElsewhere || got.RetryAfter > 20*time.Millisecond {
		t.Errorf("%v %+v", done, got)
	}
	if len(w.order) != before {
		t.Error("something was sent for a request that can't be served")
	}
	w.step(routing.Connected{Server: w.reached[0].Incarnation()})
	if w.unable {
		t.Error("the node still says that it is cut off")
	}
}

// Servers that are gone, evacuated or draining for all nodes make no node cut off.
func TestWhatNobodyHasIsNoCut(t *testing.T) {
	w := newWorld(t, routing.Options{})
	all := oneZoneEach()
	w.setServers(all)
	w.setTable(60, fiveShards...)
	w.setRoutes(fanOut(0.6, fiveShards...))
	w.step(routing.ZonesChanged{Evacuated: []string{"a"}})
	w.step(routing.ZonesChanged{})
	for i := range all {
		all[i].State = discovery.Draining
	}
	w.setServers(all)
	w.setServers(nil)
	if w.unable {
		t.Error("the node takes itself for cut off")
	}
}

// A dark zone whose servers are replaced is tried at the new ones.
func TestDarkZonesAreTriedAtNewServers(t *testing.T) {
	w := newWorld(t, routing.Options{})
	w.setServers(oneZoneEach())
	w.setTable(60, fiveShards...)
	r := fanOut(0.6, fiveShards...)
	w.setRoutes(r)
	w.warm(r, answerTime)
	w.ask(r)
	w.passAnswering(darkTime+20*time.Millisecond, "a")
	before := len(w.reached)
	replaced := oneZoneEach()
	for i := range replaced {
		replaced[i].ID += "-new"
	}
	w.setServers(replaced)
	if len(w.reached) == before {
		t.Fatal("no new server is tried")
	}
	w.step(routing.Connected{Server: w.reached[len(w.reached)-1].Incarnation()})
	if w.unable {
		t.Error("the node still says that it is cut off")
	}
	w.setServers(nil)
	w.setServers(oneZoneEach())
	if open := w.open(w.ask(r)); len(open) != len(fiveShards) {
		t.Errorf("%d of %d shards are asked", len(open), len(fiveShards))
	}
}
