package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

// coldBound is what a cold server bears in a second in these tests: 1.5 times 10, and 5.
const coldBound = 20

var coldOptions = routing.ColdOptions{Overshoot: 1.5, Slack: 5}

// setColdTable puts a table in force whose service bears a rate while it is cold.
func (w *world) setColdTable(rate float64) {
	table, err := route.New(route.Definition{
		Version: 1, Limits: route.Limits{HeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1},
		Services: []route.Service{{Name: "s1", Connections: 10_000, ColdRate: rate}},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.step(routing.TableChanged{Table: table})
}

func coldServer(id string, left time.Duration) discovery.Server {
	return discovery.Server{ID: id, Service: "s1", Address: "x", Slots: 1_000, Zone: "a", ColdFor: left}
}

// flood lets requests come for a while and counts those that each server gets.
func (w *world) flood(duration time.Duration, perTick int) map[string]int {
	const tick = 20 * time.Millisecond
	got := make(map[string]int)
	for end := w.now + duration; w.now < end; {
		before := len(w.order)
		for range perTick {
			w.ask(single("s1", true))
		}
		w.pass(tick)
		for _, send := range w.order[before:] {
			got[send.Server.ID]++
			w.end(send.Attempt, gather.ReplyDone)
		}
	}
	return got
}

// A cold server gets what it bears; the rest goes to those that are warm, and it gets
// its part once it is warm. One that turns cold again is spared again.
func TestColdServersGetWhatTheyBear(t *testing.T) {
	w := newWorld(t, routing.Options{Cold: coldOptions})
	warm, cold := coldServer("warm", 0), coldServer("cold", 2*time.Second)
	w.setServers([]discovery.Server{warm, cold})
	w.setColdTable(10)
	if got := w.flood(time.Second, 10); got["cold"] > coldBound || got["cold"] == 0 || got["warm"] < 400 {
		t.Errorf("in a second while one is cold: %v", got)
	}
	w.flood(1500*time.Millisecond, 10)
	if got := w.flood(time.Second, 10); got["cold"] < 100 {
		t.Errorf("in a second after the warm-up: %v", got)
	}
	cold.ColdFor = 3 * time.Second
	w.setServers([]discovery.Server{warm, cold})
	if got := w.flood(time.Second, 10); got["cold"] > coldBound {
		t.Errorf("in a second after it turned cold again: %v", got)
	}
	w.setServers([]discovery.Server{warm, cold}) // the same entry tells nothing new
	w.flood(2*time.Second, 10)
	if got := w.flood(time.Second, 10); got["cold"] < 100 {
		t.Errorf("in a second after the second warm-up: %v", got)
	}
}

// A rate of zero is no bound.
func TestColdServersWithoutABound(t *testing.T) {
	w := newWorld(t, routing.Options{Cold: coldOptions})
	w.setServers([]discovery.Server{coldServer("cold", time.Minute)})
	w.setColdTable(0)
	if got := w.flood(time.Second, 5); got["cold"] < 200 {
		t.Errorf("in a second: %v", got)
	}
}

// Where all servers are cold, what they can't bear waits and is sent as soon as they may
// have more, with no other event that tells of it.
func TestPartsWaitForColdServers(t *testing.T) {
	w := newWorld(t, routing.Options{Cold: coldOptions})
	w.setServers([]discovery.Server{coldServer("cold", time.Minute)})
	w.setColdTable(10)
	patient := single("s1", true)
	patient.Timeout, patient.Aim = 3*time.Second, 0
	for range 30 {
		w.ask(patient)
	}
	first := len(w.order)
	if first > coldBound || first == 0 {
		t.Fatalf("%d sends at once", first)
	}
	for _, send := range w.order {
		w.end(send.Attempt, gather.ReplyDone)
	}
	w.pass(1200 * time.Millisecond)
	if len(w.order) <= first {
		t.Error("what waits is not sent in the next second")
	}
}

// A server that shed is asked again once its time is over, with no other event.
func TestPartsWaitForServersThatShed(t *testing.T) {
	w := newWorld(t, routing.Options{})
	w.setServers(servers(1, "s1"))
	w.setTable(40, "s1")
	r := single("s1", true)
	r.Aim = 0
	busy := w.ask(r)
	delete(w.sends, w.open(busy)[0].Attempt)
	w.step(routing.Replied{Attempt: w.order[0].Attempt, Status: gather.ReplyShed, RetryAfter: 100 * time.Millisecond})
	next := w.ask(r)
	if len(w.open(next)) != 0 {
		t.Fatal("a server that shed is asked at once")
	}
	w.pass(200 * time.Millisecond)
	if len(w.open(next)) != 1 {
		t.Error("the part still waits when the server may be asked again")
	}
}

// Many nodes that don't know each other's spending keep a cold server's bound together,
// in every second, while nodes restart and loads differ.
func TestColdServersAreSparedByAllNodes(t *testing.T) {
	const tick = 20 * time.Millisecond
	run := func(seed uint64, nodes int, serving int, restarts bool) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		serving = min(serving, nodes)
		all := make([]*world, nodes)
		offsets := make([]time.Duration, nodes)
		start := func(i int, fresh bool, left time.Duration) {
			w := newWorld(t, routing.Options{Seed: random.Uint64(), Cold: coldOptions, Restarted: fresh})
			place := i
			if i >= serving {
				place = i - serving
			}
			w.step(routing.NodesChanged{Live: nodes, Serving: serving, IsServing: i < serving, Index: place})
			w.setServers([]discovery.Server{coldServer("warm", 0), coldServer("cold", left)})
			w.setColdTable(10)
			all[i] = w
		}
		for i := range all {
			start(i, false, 10*time.Second)
		}
		var arrivals []time.Duration
		for now := time.Duration(0); now < 5*time.Second; now += tick {
			for i := range all {
				if restarts && random.IntN(400) == 0 {
					start(i, true, 10*time.Second-now)
					offsets[i] = now
				}
				w := all[i]
				before := len(w.order)
				for range random.IntN(4) {
					w.ask(single("s1", true))
				}
				w.pass(now + tick - offsets[i] - w.now)
				for _, send := range w.order[before:] {
					if send.Server.ID == "cold" {
						arrivals = append(arrivals, now)
					}
					w.end(send.Attempt, gather.ReplyDone)
				}
			}
		}
		first, inWindow := 0, 0
		for _, at := range arrivals {
			inWindow++
			for arrivals[first] <= at-time.Second {
				first++
				inWindow--
			}
			if inWindow > coldBound {
				return false
			}
		}
		return nodes < 4 || len(arrivals) > coldBound // it does get what it bears
	}
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 25
	properties := gopter.NewProperties(parameters)
	properties.Property("a cold server gets no more than it bears", prop.ForAll(
		run, gen.UInt64(), gen.IntRange(1, 60), gen.IntRange(1, 24), gen.Bool(),
	))
	properties.TestingRun(t)
}
