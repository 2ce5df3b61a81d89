package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banksail/banksail/extrabudget"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/routing"
)

// sendRecord is one send to a service by any node.
type sendRecord struct {
	at    time.Duration
	extra bool
}

// worstExcess returns the largest excess, over all windows, of extra sends over ratio times the
// window's requests plus the fixed number.
func worstExcess(sends []sendRecord, ratio, fixed float64, window time.Duration) float64 {
	worst := -fixed
	first, requests, extras := 0, 0, 0
	for _, a := range sends {
		if a.extra {
			extras++
		} else {
			requests++
		}
		for sends[first].at <= a.at-window {
			if sends[first].extra {
				extras--
			} else {
				requests--
			}
			first++
		}
		worst = max(worst, float64(extras)-ratio*float64(requests)-fixed)
	}
	return worst
}

// newUnboundedHarness returns a harness with one service whose servers never run out of slots or
// connections.
func newUnboundedHarness(t *testing.T, options routing.Options) *harness {
	t.Helper()
	h := newHarness(t, options)
	unbounded := servers(2, "s1")
	for i := range unbounded {
		unbounded[i].Slots = 1_000
	}
	h.setServers(unbounded)
	h.setTable(10_000, "s1")
	return h
}

// Many nodes whose requests all want hedges must stay within the shared budget together, although
// they do not know each other's usage, restart at random and have different loads.
func TestNodesStayWithinSharedBudget(t *testing.T) {
	const (
		ratio  = 0.2
		fixed  = 56.0
		window = 10 * time.Second
		tick   = 50 * time.Millisecond
		// restartAllAt is when all nodes restart; they restart again 2 s later.
		restartAllAt = 12 * time.Second
	)
	run := func(seed uint64, nodes, restarts int, perTick float64, restartAll bool) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		start := func(restarted bool) *harness {
			h := newUnboundedHarness(t, routing.Options{
				Seed: random.Uint64(), Restarted: restarted,
				Budget: extrabudget.Options{Ratio: ratio, Fixed: fixed, Window: window},
			})
			h.step(routing.NodesChanged{Live: nodes, Serving: nodes, IsServing: true})
			return h
		}
		all := make([]*harness, nodes)
		offsets := make([]time.Duration, nodes)
		for i := range all {
			all[i] = start(false)
		}
		var sends []sendRecord
		for now := time.Duration(0); now < 30*time.Second; now += tick {
			for i, h := range all {
				if restartAll && (now == restartAllAt || now == restartAllAt+2*time.Second) || restarts > 0 && random.Float64() < float64(restarts)/600/float64(nodes) {
					all[i], offsets[i] = start(true), now
					h = all[i]
				}
				load := random.IntN(int(2*perTick)+1) * random.IntN(2)
				before := len(h.allSends)
				for range load {
					h.submit(single("s1", true))
				}
				h.advance(now + tick - offsets[i] - h.now)
				seen := make(map[routing.RequestID]bool)
				for _, send := range h.allSends[before:] {
					sends = append(sends, sendRecord{at: now, extra: send.Kind != gather.FirstSend})
					seen[send.Request] = true
				}
				for id := range seen {
					for _, send := range h.inFlight(id) {
						h.complete(send.Attempt, gather.ReplyDone)
					}
				}
			}
		}
		return worstExcess(sends, ratio, fixed, window) <= 0
	}
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 12
	properties := gopter.NewProperties(parameters)
	properties.Property("extra sends stay within the budget", prop.ForAll(
		run, gen.UInt64(), gen.IntRange(1, 12), gen.IntRange(0, 6), gen.Float64Range(0.5, 4), gen.Bool(),
	))
	properties.TestingRun(t)
}

// Nodes that take turns in serving callers, and all want extra sends, must stay within the shared
// budget together, however often the roles change. Extra sends by former serving nodes and by
// their successors count towards the same window.
func TestNodesStayWithinBudgetAcrossRoleChanges(t *testing.T) {
	const (
		ratio  = 0.2
		fixed  = 56.0
		window = 10 * time.Second
		tick   = 100 * time.Millisecond
		nodes  = 16
	)
	run := func(seed uint64, maxServing int, maxPeriod time.Duration) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		all := make([]*harness, nodes)
		for i := range all {
			all[i] = newUnboundedHarness(t, routing.Options{
				Seed:   random.Uint64(),
				Budget: extrabudget.Options{Ratio: ratio, Fixed: fixed, Window: window},
			})
		}
		var sends []sendRecord
		serving := make(map[int]bool)
		changeAt := time.Duration(0)
		for now := time.Duration(0); now < 60*time.Second; now += tick {
			if now >= changeAt {
				changeAt = now + time.Duration(random.Float64()*float64(maxPeriod))
				clear(serving)
				for range 1 + random.IntN(maxServing) {
					serving[random.IntN(nodes)] = true
				}
				for i, h := range all {
					h.step(routing.NodesChanged{Live: nodes, Serving: len(serving), IsServing: serving[i]})
				}
			}
			for i, h := range all {
				before := len(h.allSends)
				if serving[i] {
					for range 4 {
						h.submit(single("s1", true))
					}
				}
				h.advance(tick)
				for _, send := range h.allSends[before:] {
					sends = append(sends, sendRecord{at: now, extra: send.Kind != gather.FirstSend})
				}
				for _, send := range h.allSends[before:] {
					if _, open := h.openSends[send.Attempt]; open {
						h.complete(send.Attempt, gather.ReplyDone)
					}
				}
			}
		}
		return worstExcess(sends, ratio, fixed, window) <= 0
	}
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 12
	properties := gopter.NewProperties(parameters)
	properties.Property("extra sends stay within the budget", prop.ForAll(
		run, gen.UInt64(), gen.IntRange(1, 12),
		gen.Int64Range(1, 30).Map(func(seconds int64) time.Duration { return time.Duration(seconds) * time.Second }),
	))
	properties.TestingRun(t)
}
