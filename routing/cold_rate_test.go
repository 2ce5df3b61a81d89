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

// coldLimit is the number of requests per second to a cold server in these tests: 1.5 times 10,
// plus 5.
const coldLimit = 20

var coldOptions = routing.ColdOptions{Overshoot: 1.5, Slack: 5}

// setColdRate installs a table whose service has the given cold rate.
func (h *harness) setColdRate(rate float64) {
	table, err := route.New(route.Definition{
		Version: 1, Limits: route.Limits{HeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1},
		Services: []route.Service{{Name: "s1", Connections: 10_000, ColdRate: rate}},
	})
	if err != nil {
		h.t.Fatal(err)
	}
	h.step(routing.TableChanged{Table: table})
}

func coldServer(id string, left time.Duration) discovery.Server {
	return discovery.Server{ID: id, Service: "s1", Address: "x", Slots: 1_000, Zone: "a", ColdFor: left}
}

// sendLoad submits requests for a while and returns the number of sends to each server.
func (h *harness) sendLoad(duration time.Duration, perTick int) map[string]int {
	const tick = 20 * time.Millisecond
	counts := make(map[string]int)
	for end := h.now + duration; h.now < end; {
		before := len(h.allSends)
		for range perTick {
			h.submit(single("s1", true))
		}
		h.advance(tick)
		for _, send := range h.allSends[before:] {
			counts[send.Server.ID]++
			h.complete(send.Attempt, gather.ReplyDone)
		}
	}
	return counts
}

// A cold server must receive no more than its limit, the rest must go to warm servers, and it must
// receive its normal share once it is warm. The limit must apply again if it becomes cold again.
func TestColdServerRateLimit(t *testing.T) {
	h := newHarness(t, routing.Options{Cold: coldOptions})
	warm, cold := coldServer("warm", 0), coldServer("cold", 2*time.Second)
	h.setServers([]discovery.Server{warm, cold})
	h.setColdRate(10)
	if got := h.sendLoad(time.Second, 10); got["cold"] > coldLimit || got["cold"] == 0 || got["warm"] < 400 {
		t.Errorf("sends in 1 s while one server is cold: %v", got)
	}
	h.sendLoad(1500*time.Millisecond, 10)
	if got := h.sendLoad(time.Second, 10); got["cold"] < 100 {
		t.Errorf("sends in 1 s after the warm-up: %v", got)
	}
	cold.ColdFor = 3 * time.Second
	h.setServers([]discovery.Server{warm, cold})
	if got := h.sendLoad(time.Second, 10); got["cold"] > coldLimit {
		t.Errorf("sends in 1 s after the server became cold again: %v", got)
	}
	h.setServers([]discovery.Server{warm, cold}) // an unchanged entry must not restart the warm-up
	h.sendLoad(2*time.Second, 10)
	if got := h.sendLoad(time.Second, 10); got["cold"] < 100 {
		t.Errorf("sends in 1 s after the second warm-up: %v", got)
	}
}

// A cold rate of zero means no limit.
func TestColdRateOfZeroIsUnlimited(t *testing.T) {
	h := newHarness(t, routing.Options{Cold: coldOptions})
	h.setServers([]discovery.Server{coldServer("cold", time.Minute)})
	h.setColdRate(0)
	if got := h.sendLoad(time.Second, 5); got["cold"] < 200 {
		t.Errorf("sends in 1 s without a cold rate: %v", got)
	}
}

// If all servers are cold, excess parts must queue and be sent as soon as the limit allows,
// without any other event.
func TestPartsQueueForColdServers(t *testing.T) {
	h := newHarness(t, routing.Options{Cold: coldOptions})
	h.setServers([]discovery.Server{coldServer("cold", time.Minute)})
	h.setColdRate(10)
	noTarget := single("s1", true)
	noTarget.Timeout, noTarget.LatencyTarget = 3*time.Second, 0
	for range 30 {
		h.submit(noTarget)
	}
	first := len(h.allSends)
	if first > coldLimit || first == 0 {
		t.Fatalf("%d immediate sends to a cold server, want 1 to 20", first)
	}
	for _, send := range h.allSends {
		h.complete(send.Attempt, gather.ReplyDone)
	}
	h.advance(1200 * time.Millisecond)
	if len(h.allSends) <= first {
		t.Error("queued parts are not sent in the next second")
	}
}

// Parts queued for a server that shed must be sent once its retry time has passed, without any
// other event.
func TestPartsQueueForSheddingServers(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(1, "s1"))
	h.setTable(40, "s1")
	r := single("s1", true)
	r.LatencyTarget = 0
	shedRequest := h.submit(r)
	delete(h.openSends, h.inFlight(shedRequest)[0].Attempt)
	h.step(routing.Replied{Attempt: h.allSends[0].Attempt, Status: gather.ReplyShed, RetryAfter: 100 * time.Millisecond})
	next := h.submit(r)
	if len(h.inFlight(next)) != 0 {
		t.Fatal("a request is sent to a server that has just shed")
	}
	h.advance(200 * time.Millisecond)
	if len(h.inFlight(next)) != 1 {
		t.Error("the part is still queued after the retry time of the server")
	}
}

// Many nodes that do not know each other's usage must together keep the limit of a cold server in
// every second, while nodes restart and loads differ.
func TestNodesShareColdServerRateLimit(t *testing.T) {
	const tick = 20 * time.Millisecond
	run := func(seed uint64, nodes int, serving int, restarts bool) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		serving = min(serving, nodes)
		all := make([]*harness, nodes)
		offsets := make([]time.Duration, nodes)
		start := func(i int, restarted bool, left time.Duration) {
			h := newHarness(t, routing.Options{Seed: random.Uint64(), Cold: coldOptions, Restarted: restarted})
			index := i
			if i >= serving {
				index = i - serving
			}
			h.step(routing.NodesChanged{Live: nodes, Serving: serving, IsServing: i < serving, Index: index})
			h.setServers([]discovery.Server{coldServer("warm", 0), coldServer("cold", left)})
			h.setColdRate(10)
			all[i] = h
		}
		for i := range all {
			start(i, false, 10*time.Second)
		}
		var sends []time.Duration
		for now := time.Duration(0); now < 5*time.Second; now += tick {
			for i := range all {
				if restarts && random.IntN(400) == 0 {
					start(i, true, 10*time.Second-now)
					offsets[i] = now
				}
				h := all[i]
				before := len(h.allSends)
				for range random.IntN(4) {
					h.submit(single("s1", true))
				}
				h.advance(now + tick - offsets[i] - h.now)
				for _, send := range h.allSends[before:] {
					if send.Server.ID == "cold" {
						sends = append(sends, now)
					}
					h.complete(send.Attempt, gather.ReplyDone)
				}
			}
		}
		first, inWindow := 0, 0
		for _, at := range sends {
			inWindow++
			for sends[first] <= at-time.Second {
				first++
				inWindow--
			}
			if inWindow > coldLimit {
				return false
			}
		}
		return nodes < 4 || len(sends) > coldLimit // the limit is also used
	}
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 25
	properties := gopter.NewProperties(parameters)
	properties.Property("a cold server gets no more than it bears", prop.ForAll(
		run, gen.UInt64(), gen.IntRange(1, 60), gen.IntRange(1, 24), gen.Bool(),
	))
	properties.TestingRun(t)
}
