package discovery_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/discovery"
)

const (
	// boundUsed is the part of the shortest bound within which every node that hears the
	// registry, by itself or from others, has taken a change in; the rest is for requests
	// that are on their way.
	boundUsed = 0.75
	// boundNodes is the number of nodes, and harmedNodes of those that are harmed.
	boundNodes  = 30
	harmedNodes = 10
	// harmless is the time without harm after which nodes count as in touch.
	harmless = 5 * time.Second
)

// harm is what becomes of a node in the histories below.
type harm int

const (
	// harmRefused: the registry turns the node away.
	harmRefused harm = iota
	// harmUnheard: the registry leaves the node's calls without an answer.
	harmUnheard
	// harmCut: it is cut off from the registry and from all nodes.
	harmCut
	// harmKilled: it answers nothing any more, to anybody.
	harmKilled
	harms
)

// apply harms a node, or ends the harm.
func (w *relayWorld) apply(number int, how harm, on bool) {
	id := fmt.Sprintf("node-%02d", number)
	refused := refusesNothing
	switch {
	case on && how == harmRefused:
		refused = refusesAtOnce
	case on:
		refused = refusesSilently
	}
	w.gates[number].refusal.Store(int32(refused))
	if how == harmCut || how == harmKilled {
		w.network.mutex.Lock()
		w.network.silent[id] = on
		w.network.mutex.Unlock()
		w.network.cut(id, on)
	}
}

// A third of the nodes is harmed, those that read for all among them, however the history
// falls: all others, and those whom the registry alone turns away, have each table within
// their part of the bound, for bounds of 3, 5 and 6 s.
func TestTablesAreInForceWhileAThirdIsHarmed(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second, 6 * time.Second} {
		for how := range harms {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("%s, harm %d, seed %d", bound, how, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { playHarm(t, bound, how, seed) })
				})
			}
		}
	}
}

// playHarm plays rounds in which other nodes are harmed and tables change meanwhile.
func playHarm(t *testing.T, bound time.Duration, how harm, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 13))
	w := newRelay(t, boundNodes)
	w.members, w.bound = true, bound
	w.start(t)
	time.Sleep(harmless)
	version := uint64(1)
	for range 3 {
		harmed := make(map[int]bool)
		for _, number := range random.Perm(boundNodes)[:harmedNodes] {
			harmed[number] = true
			w.apply(number, how, true)
		}
		harmedAt := time.Now()
		for time.Since(harmedAt) < 2*harmless+2*bound {
			time.Sleep(time.Duration(random.Int64N(int64(bound))))
			version++
			w.registry.putTable(version)
			changed := time.Now()
			time.Sleep(time.Duration(boundUsed * float64(bound)))
			if changed.Sub(harmedAt) < harmless && how == harmKilled {
				continue // a node that asks one that was just killed has lost time
			}
			w.wantVersion(t, version, func(number int) bool {
				return !harmed[number] || how == harmRefused || how == harmUnheard
			})
		}
		for number := range harmed {
			w.apply(number, how, false)
		}
		time.Sleep(harmless)
	}
	w.stop()
	w.loops.Wait()
}

// wantVersion wants the nodes that count to know a table.
func (w *relayWorld) wantVersion(t *testing.T, version uint64, counts func(number int) bool) {
	t.Helper()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for number, news := range w.news {
		if counts(number) && news.Table.Version < version {
			t.Errorf("node %d knows table %d, want %d", number, news.Table.Version, version)
		}
	}
}

// The registry is silent to all nodes for a moment, and goes on being silent to a third
// of them: once it speaks again, all know within a second what changed meanwhile.
func TestTablesAreInForceSoonAfterASilence(t *testing.T) {
	const (
		nodes, turnedAway = 70, 23
		silence           = 2500 * time.Millisecond
		soon              = time.Second
	)
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 17))
				w := newRelay(t, nodes)
				w.members, w.bound = true, 5*time.Second
				w.start(t)
				time.Sleep(harmless)
				harmed := random.Perm(nodes)[:turnedAway]
				for _, number := range harmed {
					w.apply(number, harmUnheard, true)
				}
				time.Sleep(harmless + time.Duration(random.Int64N(int64(harmless))))
				for number := range nodes {
					w.apply(number, harmUnheard, true)
				}
				time.Sleep(silence)
				w.registry.putTable(2)
				for number := range nodes {
					if !slices.Contains(harmed, number) {
						w.apply(number, harmUnheard, false)
					}
				}
				returned := time.Now()
				for !w.allKnow(2) && time.Since(returned) < 10*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				if took := time.Since(returned); took > soon {
					t.Errorf("%s until all know the table", took)
				}
				w.stop()
				w.loops.Wait()
			})
		})
	}
}

// allKnow reports whether every node knows a table.
func (w *relayWorld) allKnow(version uint64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !slices.ContainsFunc(w.news, func(news discovery.ClusterState) bool { return news.Table.Version < version })
}
