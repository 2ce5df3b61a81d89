package soak

import (
	"net/http"
	"sync"
	"time"

	"github.com/banksail/banksail/lab/history"
)

const (
	// longTimeoutCallerCount callers send requests with a long timeout to longTimeoutNodeCount nodes.
	longTimeoutCallerCount  = 8
	longTimeoutNodeCount    = 2
	longTimeoutCallInterval = 20 * time.Millisecond
)

// sendLongTimeoutRequests sends requests that may run once and have a long timeout, until the given
// time, and waits for their answers.
func (f *fleet) sendLongTimeoutRequests(until time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: longTimeoutCallerCount, DisableCompression: true}}
	defer client.CloseIdleConnections()
	nodes := f.allNodes()
	var callers sync.WaitGroup
	for number := range longTimeoutCallerCount {
		target := nodes[(int(until/time.Millisecond)+number%longTimeoutNodeCount)%len(nodes)]
		callers.Go(func() {
			for f.recorder.Now() < until {
				f.sendLongTimeoutRequest(client, target)
				time.Sleep(longTimeoutCallInterval)
			}
		})
	}
	callers.Wait()
}

// sendLongTimeoutRequest sends one such request and records the call and its answer.
func (f *fleet) sendLongTimeoutRequest(client *http.Client, target *node) {
	call := history.Call{
		RequestID: f.nextRequestID(), Node: target.name, Service: singleService, Class: longTimeoutPath, Deadline: longTimeout,
	}
	id := f.recorder.Call(call)
	answer := f.sendRequestTo(client, target, longTimeoutPath, longTimeoutPath+call.RequestID, call.RequestID, call.RequestID, longTimeout, longTimeout+lateAnswerTimeout)
	answer.Call = id
	f.recorder.Answer(answer)
}
