package soak

import (
	"net/http"
	"sync"
	"time"

	"github.com/banksail/banksail/lab/history"
)

const (
	// patientCallerCount is the number of callers that send patient requests. They share two nodes.
	patientCallerCount  = 8
	patientNodeCount    = 2
	patientCallInterval = 20 * time.Millisecond
)

// sendPatientRequests sends requests that may run once and wait for long, until the given time, and
// waits for their answers.
func (f *fleet) sendPatientRequests(until time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: patientCallerCount, DisableCompression: true}}
	defer client.CloseIdleConnections()
	nodes := f.allNodes()
	var callers sync.WaitGroup
	for number := range patientCallerCount {
		target := nodes[(int(until/time.Millisecond)+number%patientNodeCount)%len(nodes)]
		callers.Go(func() {
			for f.recorder.Now() < until {
				f.sendPatientRequest(client, target)
				time.Sleep(patientCallInterval)
			}
		})
	}
	callers.Wait()
}

// sendPatientRequest sends one such request and records the call and its answer.
func (f *fleet) sendPatientRequest(client *http.Client, target *node) {
	call := history.Call{
		RequestID: f.nextRequestID(), Node: target.name, Service: singleService, Class: patientPath, Deadline: patientTimeout,
	}
	id := f.recorder.Call(call)
	answer := f.sendRequestTo(client, target, patientPath, patientPath+call.RequestID, call.RequestID, call.RequestID, patientTimeout, patientTimeout+lateAnswerTimeout)
	answer.Call = id
	f.recorder.Answer(answer)
}
