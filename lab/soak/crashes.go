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
	// crashRequestInterval is the time between two attempts of a request that crashes servers, and
	// crashDelay the time that a server runs it before it crashes.
	crashRequestInterval = 700 * time.Millisecond
	crashDelay           = 30 * time.Millisecond
	// crashRestartDelay is the time until a crashed server is replaced.
	crashRestartDelay = 1500 * time.Millisecond
	// quarantineCrashes is the number of servers that may crash before the request must be
	// recognized. Later than reconnectTime after that, servers may receive it at most
	// maxRepeatedCrashes times.
	quarantineCrashes  = 3
	maxRepeatedCrashes = 3
)

// sendCrashRequests sends a request that crashes servers to all nodes in turn until the fault ends.
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
		answer := f.sendRequestTo(client, n, fault.Target, target, "deadly", call.RequestID, requestTimeout, requestTimeout+lateAnswerTimeout)
		answer.Call = id
		f.recorder.Answer(answer)
		_ = clock.Sleep(ctx, crashRequestInterval) // the loop condition checks ctx
	}
}

// updateCrashTargets changes the targets of requests that crash servers, on all servers and on
// those that start later.
func (f *fleet) updateCrashTargets(change func(targets []string) []string) {
	f.mutex.Lock()
	f.crashTargets = change(f.crashTargets)
	targets := slices.Clone(f.crashTargets)
	f.mutex.Unlock()
	for _, s := range f.allServers() {
		f.setCrashTargets(s, targets)
	}
}

// setCrashTargets makes a server crash under requests for the given targets.
func (f *fleet) setCrashTargets(s *server, targets []string) {
	s.Set(func() {
		s.CrashPrefixes, s.CrashDelay = targets, crashDelay
		s.OnCrash = func(target string) { go f.crashUnderRequest(s, target) }
	})
}

// crashUnderRequest records that a server crashed under a request, and replaces the server.
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

// checkRepeatedCrashes checks how often servers got a request from undisturbed nodes after it was
// due to be recognized as crashing them.
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
