package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// benchmarkQuery measures a query over all groups from its arrival to its final outcome, with
// each sub-request answered once.
func benchmarkQuery(b *testing.B, groups int) {
	d := newConfigured(Options{}, groups, 2)
	now := time.Duration(0)
	id := QueryID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += 10 * time.Millisecond
		sent := d.Step(now, arrival(id))
		for _, action := range sent {
			if s, ok := action.(Send); ok {
				d.Step(now+5*time.Millisecond, doneReply(s))
			}
		}
	}
	if len(d.running) > 0 {
		b.Fatalf("%d queries are still running", len(d.running))
	}
	perSubRequest := float64(b.Elapsed().Nanoseconds()) / float64(b.N) / float64(groups)
	b.ReportMetric(perSubRequest, "ns/sub-request")
}

func BenchmarkDispatchQuery8Groups(b *testing.B)   { benchmarkQuery(b, 8) }
func BenchmarkDispatchQuery64Groups(b *testing.B)  { benchmarkQuery(b, 64) }
func BenchmarkDispatchQuery350Groups(b *testing.B) { benchmarkQuery(b, 350) }

// BenchmarkRefusal measures a query that is refused on arrival.
func BenchmarkRefusal(b *testing.B) {
	d := newConfigured(Options{MaximumRunning: 1, MaximumQueued: 1}, 64, 2)
	for id := range QueryID(4) {
		d.Step(0, arrival(id+1))
	}
	id := QueryID(10)
	b.ReportAllocs()
	for b.Loop() {
		id++
		if len(d.Step(0, arrival(id))) != 1 {
			b.Fatal("query was not refused")
		}
	}
}

// BenchmarkServerChanged measures a state change of one server among many.
func BenchmarkServerChanged(b *testing.B) {
	for _, groups := range []int{64, 1000} {
		b.Run(fmt.Sprint(groups*2, "Servers"), func(b *testing.B) {
			d := newConfigured(Options{}, groups, 2)
			states := []ServerState{ServerSuspect, ServerLive}
			i := 0
			for b.Loop() {
				d.Step(0, ServerChanged{Server: "0/0", State: states[i%2]})
				i++
			}
		})
	}
}
