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
	// crashRequestInterval is the time between two tries of a request that ends servers, and crashDelay
	// that for which a server runs it.
	crashRequestInterval = 700 * time.Millisecond
	crashDelay           = 30 * time.Millisecond
	// crashRestartDelay is the time until a server is back that ended under a request.
	crashRestartDelay = 1500 * time.Millisecond
	// quarantineCrashes is the number of servers that may end before a request is to be known, and
	// maxRepeatedCrashes how often servers may get it later than reconnectTime after that.
	quarantineCrashes  = 3
	maxRepeatedCrashes = 3
)

// sendCrashRequests sends one request to one node after the other, under which servers end.
func (f *fleet) sendCrashRequests(ctx context.Context, fault schedule.Fault) {
	target := fault.Target + "deadly-" + strconv.FormatInt(fault.At.Milliseconds(), 10)
	f.updateCrashTargets(func(targets []string) []string { return append(targets, target) })
	defer f.updateCrashTargets(func(targets []string) []string {
		return slices.DeleteFunc(targets, func(prefix string) bool { return prefix == target })
	})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for index := 0; f.recorder.Now() < fault.Until && ctx.Err() == nil; index++ {
		nodes := f.allNodes()
		n := nodes[index%len(nodes)]
		call := history.Call{
			RequestID: f.nextRequestID(), Node: n.name, Service: singleService, Class: fault.Target,
			Repeatable: fault.Target != enterPath, Deadline: requestTimeout,
		}
		if fault.Target == searchPath {
			call.Service, call.MinimumCoverage = searchService, minimumCoverage
		}
		id := f.recorder.Call(call)
		answer := f.sendRequestTo(client, n, fault.Target, target, "deadly", call.RequestID, requestTimeout+lateAnswerTimeout)
		answer.Call = id
		f.recorder.Answer(answer)
		_ = clock.Sleep(ctx, crashRequestInterval) // the loop looks at ctx
	}
}

// updateCrashTargets changes the targets under which all servers end, also those that come later.
func (f *fleet) updateCrashTargets(change func(targets []string) []string) {
	f.mutex.Lock()
	f.crashTargets = change(f.crashTargets)
	targets := slices.Clone(f.crashTargets)
	f.mutex.Unlock()
	for _, s := range f.allServers() {
		f.setCrashTargets(s, targets)
	}
}

// setCrashTargets makes a server end under requests for some targets.
func (f *fleet) setCrashTargets(s *server, targets []string) {
	s.Set(func() {
		s.CrashPrefixes, s.CrashDelay = targets, crashDelay
		s.OnCrash = func(target string) { go f.crashUnderRequest(s, target) }
	})
}

// crashUnderRequest ends a server under a request; another one comes in its place.
func (f *fleet) crashUnderRequest(s *server, target string) {
	f.mutex.Lock()
	if f.crashTimes == nil {
		f.crashTimes = make(map[string][]time.Duration)
	}
	f.crashTimes[target] = append(f.crashTimes[target], f.recorder.Now())
	f.mutex.Unlock()
	err := f.replaceServer(s, func() { time.Sleep(crashRestartDelay) }, 0)
	if err != nil {
		f.options.ReportProgress("a server that ended under a request did not come back: %v", err)
	}
}

// checkRepeatedCrashes judges how often servers got requests that were known to end them, from nodes that
// nothing disturbed.
func (c *checker) checkRepeatedCrashes() {
	for target, crashes := range c.crashTimes {
		c.checked[RepeatedCrashes]++
		if len(crashes) < quarantineCrashes {
			continue
		}
		quarantinedAt, repeated := crashes[quarantineCrashes-1]+reconnectTime, 0
		for _, a := range c.arrivals {
			if a.target == target && a.at > quarantinedAt && c.wasUndisturbed(a.caller, a.at-reconnectTime, a.at) {
				repeated++
			}
		}
		if repeated > maxRepeatedCrashes {
			c.addViolation(RepeatedCrashes, target, "servers got it %d times later than %s; %d ended", repeated, quarantinedAt, len(crashes))
		}
	}
}
