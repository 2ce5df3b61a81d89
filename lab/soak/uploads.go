package soak

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/schedule"
)

const (
	// uploadBytes is the length of a long body. It exceeds the limit on headers and what a node
	// reads at once.
	uploadBytes = 30_000
	// uploadInterval is the time between two requests of an uploader.
	uploadInterval = 20 * time.Millisecond
	// uploaderCount is the number of uploaders.
	uploaderCount = 3
)

// uploadLine is repeated in long bodies. Taken for a header, it makes a request invalid.
const uploadLine = "entry\r\nContent-Length: 7\r\nTransfer-Encoding: chunked\r\n"

// removeOptionalRoute removes the optional route until the fault ends, while uploaders use it.
func (f *fleet) removeOptionalRoute(ctx context.Context, fault schedule.Fault) {
	var uploaders sync.WaitGroup
	for number := range uploaderCount {
		uploaders.Go(func() { f.upload(ctx, number, fault.Until) })
	}
	f.setOptionalRoute(false)
	uploaders.Wait()
	f.setOptionalRoute(true)
}

// setOptionalRoute writes a configuration with or without the optional route.
func (f *fleet) setOptionalRoute(present bool) {
	f.mutex.Lock()
	f.optionalRouteRemoved = !present
	f.mutex.Unlock()
	f.writeConfiguration()
}

// upload sends requests with long bodies on the optional route and short ones on another route in
// turn, on one kept connection to a node, until the given time.
func (f *fleet) upload(ctx context.Context, number int, until time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	nodes := f.allNodes()
	target := nodes[(number+int(until/time.Millisecond))%len(nodes)]
	long := strings.Repeat(uploadLine, uploadBytes/len(uploadLine))
	for f.recorder.Now() < until && clock.Sleep(ctx, uploadInterval) == nil {
		f.sendUpload(client, target, optionalPath, long)
		f.sendUpload(client, target, pagePath, "")
	}
}

// sendUpload sends a request with a body that starts with the request's ID, and records the call
// and its answer.
func (f *fleet) sendUpload(client *http.Client, target *node, path, body string) {
	call := history.Call{
		RequestID: f.nextRequestID(), Node: target.name, Service: singleService, Class: path, Repeatable: true, Deadline: requestTimeout,
	}
	id := f.recorder.Call(call)
	answer := f.sendRequestTo(client, target, path, path+call.RequestID, call.RequestID+body, call.RequestID, requestTimeout, requestTimeout+lateAnswerTimeout)
	answer.Call = id
	f.recorder.Answer(answer)
}
