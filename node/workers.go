package node

import (
	"context"
	"sync"
	"sync/atomic"
)

// maxIdleWorkers bounds the idle goroutines. Each keeps a stack of several
// kilobytes.
const maxIdleWorkers = 512

// job is a sub-request to run, with its shard and context.
type job struct {
	serviceShard *shard
	context      context.Context
	outgoing     *subRequest
}

// workers runs each job immediately, on an idle goroutine or else on a new one,
// so that no job waits for another. A reused goroutine does not have to grow
// its stack again for each exchange.
type workers struct {
	// jobs is unbuffered: a send succeeds only while a worker is idle.
	jobs    chan job
	idle    atomic.Int64
	closed  chan struct{}
	running sync.WaitGroup
}

func newWorkers() *workers {
	return &workers{jobs: make(chan job), closed: make(chan struct{})}
}

// start runs a job without blocking.
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

// waitForJob waits for the next job. more is false if enough workers are idle
// already or the workers were closed.
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

// close ends the idle workers and returns when all workers have ended. No job
// may be started afterwards.
func (w *workers) close() {
	close(w.closed)
	w.running.Wait()
}
