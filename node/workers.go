package node

import (
	"context"
	"sync"
	"sync/atomic"
)

// maxIdleWorkers bounds the goroutines that wait for a sub-request. Each
// keeps a stack of some kilobytes.
const maxIdleWorkers = 512

// job is a sub-request with what carries it.
type job struct {
	serviceShard *shard
	context      context.Context
	outgoing     *subRequest
}

// workers runs each job at once, on a goroutine that waits for one or else on a
// new one: no job waits for another. Reused goroutines need not grow their
// stacks again for each exchange.
type workers struct {
	// jobs has no buffer: it takes a job only while a worker waits.
	jobs    chan job
	idle    atomic.Int64
	closed  chan struct{}
	running sync.WaitGroup
}

func newWorkers() *workers {
	return &workers{jobs: make(chan job), closed: make(chan struct{})}
}

// start runs a job; it does not wait.
func (w *workers) start(next job) {
	select {
	case w.jobs <- next:
	default:
		w.running.Go(func() { w.runJobs(next) })
	}
}

func (w *workers) runJobs(next job) {
	for more := true; more; {
		next.serviceShard.runAttempt(next.context, next.outgoing)
		next, more = w.waitForJob()
	}
}

// waitForJob waits for a job; there is none when enough workers wait already, and
// once the workers are closed.
func (w *workers) waitForJob() (next job, more bool) {
	defer w.idle.Add(-1)
	if w.idle.Add(1) > maxIdleWorkers {
		return job{}, false
	}
	select {
	case next = <-w.jobs:
		return next, true
	case <-w.closed:
		return job{}, false
	}
}

// close ends the workers that wait and returns when all have ended; no job may
// start afterwards.
func (w *workers) close() {
	close(w.closed)
	w.running.Wait()
}
