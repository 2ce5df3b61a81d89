package soak

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/schedule"
)

const (
	// deadlyGap is the time between two tries of a request that ends servers, and deadlyWork
	// that for which a server runs it.
	deadlyGap  = 700 * time.Millisecond
	deadlyWork = 30 * time.Millisecond
	// restartTime is the time until a server is back that ended under a request.
	restartTime = 1500 * time.Millisecond
	// endsKnown is the number of servers that may end before a request is to be known, and
	// mostRepeats how often servers may get it later than contactTime after that.
	endsKnown   = 3
	mostRepeats = 3
)

// sendDeadly sends one request to one node after the other, under which servers end.
func (f *fleet) sendDeadly(ctx context.Context, fault schedule.Fault) {
	target := fault.Target + "deadly-" + strconv.FormatInt(fault.At.Milliseconds(), 10)
	f.changeDeadly(func(deadly []string) []string { return append(deadly, target) })
	defer f.changeDeadly(func(deadly []string) []string {
		return slices.DeleteFunc(deadly, func(one string) bool { return one == target })
	})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for turn := 0; f.recorder.Now() < fault.Until && ctx.Err() == nil; turn++ {
		nodes := f.allNodes()
		to := nodes[turn%len(nodes)]
		call := history.Call{
			RequestID: f.nextRequest(), Node: to.name, Service: singleService, Class: fault.Target,
			Repeatable: fault.Target != enterPath, Deadline: deadline,
		}
		if fault.Target == searchPath {
			call.Service, call.MinimumCoverage = searchService, leastCoverage
		}
		id := f.recorder.Call(call)
		answer := f.askFor(client, to, fault.Target, target, "deadly", call.RequestID, deadline+patience)
		answer.Call = id
		f.recorder.Answer(answer)
		_ = clock.Sleep(ctx, deadlyGap) // the loop looks at ctx
	}
}

// changeDeadly changes the targets under which all servers end, also those that come later.
func (f *fleet) changeDeadly(change func(deadly []string) []string) {
	f.mutex.Lock()
	f.deadly = change(f.deadly)
	deadly := slices.Clone(f.deadly)
	f.mutex.Unlock()
	for _, s := range f.allServers() {
		f.arm(s, deadly)
	}
}

// arm makes a server end under requests for some targets.
func (f *fleet) arm(s *server, deadly []string) {
	s.Set(func() {
		s.CrashPrefixes, s.CrashDelay = deadly, deadlyWork
		s.OnCrash = func(target string) { go f.endUnder(s, target) }
	})
}

// endUnder ends a server under a request; another one comes in its place.
func (f *fleet) endUnder(s *server, target string) {
	f.mutex.Lock()
	if f.deadlyEnds == nil {
		f.deadlyEnds = make(map[string][]time.Duration)
	}
	f.deadlyEnds[target] = append(f.deadlyEnds[target], f.recorder.Now())
	f.mutex.Unlock()
	err := f.bringBack(s, func() { time.Sleep(restartTime) }, 0)
	if err != nil {
		f.options.ReportProgress("a server that ended under a request did not come back: %v", err)
	}
}

// repeats judges how often servers got requests that were known to end them, from nodes that
// nothing disturbed.
func (j *judge) repeats() {
	for target, ends := range j.deadlyEnds {
		j.judged[RepeatedCrashes]++
		if len(ends) < endsKnown {
			continue
		}
		known, repeats := ends[endsKnown-1]+contactTime, 0
		for _, a := range j.arrivals {
			if a.target == target && a.at > known && j.calm(a.caller, a.at-contactTime, a.at) {
				repeats++
			}
		}
		if repeats > mostRepeats {
			j.violate(RepeatedCrashes, target, "servers got it %d times later than %s; %d ended", repeats, known, len(ends))
		}
	}
}
