package node

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banksail/banksail/caller"
	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/retry"
	"github.com/banksail/banksail/settings"
)

// onceParts is the number of parts into which the guard is divided by request ID.
const onceParts = 16

// once lets each not-repeatable request run at most once on this node within
// the window. The window lives in memory; claims at other nodes (claim.go)
// cover this node's end. docs/design/at-most-once.md tells how far.
type once struct {
	parts [onceParts]oncePart
}

// oncePart holds the request IDs whose hash falls to it.
type oncePart struct {
	mutex sync.Mutex
	// mutex guards the fields below. Invariant: running holds exactly the
	// requests that the guard has in progress.
	guard   *retry.Deduplicator
	running map[string]*onceRun
	// outcomes bounds what the guard's recorded outcomes take.
	outcomes recordedOutcomes
}

// onceRun is a not-repeatable request in progress.
type onceRun struct {
	// ended is closed once result is set.
	ended  chan struct{}
	result caller.Result
}

func newOnce(window settings.AtMostOnce) *once {
	guard := &once{}
	perPart := (window.Requests + onceParts - 1) / onceParts
	for index := range guard.parts {
		guard.parts[index].guard = retry.NewDeduplicator(retry.DeduplicatorOptions{Window: window.Window, MaxEntries: perPart})
		guard.parts[index].running = make(map[string]*onceRun)
		guard.parts[index].outcomes = recordedOutcomes{
			limit:  int(window.ResultBytes / onceParts),
			window: window.Window,
		}
	}
	return guard
}

func (o *once) part(key string) *oncePart {
	return &o.parts[xxhash.Sum64String(key)%onceParts]
}

// onceKey is the scope of a request ID: the service that it names.
func onceKey(request caller.Request) string {
	return request.Service + "\x00" + request.RequestID
}

// onceDigest covers all that decides what the request does. The deadline is
// left out, so that a caller may ask again with the time it has left.
func onceDigest(request caller.Request) retry.Digest {
	hash := sha256.New()
	for _, text := range []string{request.Service, request.Class} {
		_ = binary.Write(hash, binary.BigEndian, uint64(len(text)))
		hash.Write([]byte(text))
	}
	_ = binary.Write(hash, binary.BigEndian, math.Float64bits(request.MinimumCoverage))
	hash.Write(request.Body)
	return retry.Digest(hash.Sum(nil))
}

// runOnce runs a not-repeatable request unless its ID ran within the window.
func (n *Node) runOnce(ctx context.Context, carrier *shard, request caller.Request) (caller.Result, error) {
	key := onceKey(request)
	part := n.once.part(key)
	part.mutex.Lock()
	verdict, recorded := part.guard.Begin(n.now(), key, onceDigest(request))
	switch verdict {
	case retry.Accepted:
		run := &onceRun{ended: make(chan struct{})}
		part.running[key] = run
		part.mutex.Unlock()
		var ran bool
		run.result, ran = n.runClaimed(ctx, carrier, request, key)
		n.endOnce(part, key, run, ran)
		return run.result, nil
	case retry.InProgress:
		run := part.running[key]
		part.mutex.Unlock()
		return n.joinOnce(ctx, run, request), nil
	case retry.Completed:
		result := recorded.(*recordedOutcome).again()
		part.mutex.Unlock()
		n.metrics.Duplicates.Inc()
		return result, nil
	case retry.Full:
		retryAfter := part.guard.RetryAfter(n.now())
		part.mutex.Unlock()
		result := n.refused(request, dispatch.ReasonOverload)
		result.Outcome.RetryAfter = retryAfter
		return result, nil
	default:
		part.mutex.Unlock()
		return caller.Result{}, caller.ReusedIDError()
	}
}

// endOnce records the outcome. A request that did not run here is forgotten, so
// that its caller may try again.
func (n *Node) endOnce(part *oncePart, key string, run *onceRun, ran bool) {
	part.mutex.Lock()
	defer part.mutex.Unlock()
	delete(part.running, key)
	if ran {
		now := n.now()
		part.guard.Complete(now, key, part.outcomes.add(now, run.result))
	} else {
		part.guard.Abandon(key)
	}
	close(run.ended)
}

// knows says that the request with this key is in progress here or ran within
// the window.
func (o *once) knows(now time.Duration, key string) bool {
	part := o.part(key)
	part.mutex.Lock()
	defer part.mutex.Unlock()
	return part.guard.Contains(now, key)
}

// joinOnce waits for the outcome of the same request in progress, at most until
// the deadline of its own caller.
func (n *Node) joinOnce(ctx context.Context, run *onceRun, request caller.Request) caller.Result {
	n.metrics.Duplicates.Inc()
	deadline := time.NewTimer(request.Deadline)
	defer deadline.Stop()
	select {
	case <-run.ended:
		result := run.result
		result.Duplicate = true
		return result
	case <-deadline.C:
		return unknownRepetition(dispatch.ReasonDeadline)
	case <-ctx.Done():
		return unknownRepetition(dispatch.ReasonCallerGone)
	}
}

// unknownRepetition is the answer to the repetition of a request whose outcome
// is not told.
func unknownRepetition(reason dispatch.Reason) caller.Result {
	return caller.Result{Duplicate: true, Outcome: dispatch.Outcome{
		Execution:  dispatch.ExecutionUnknown,
		Reason:     reason,
		RetryAfter: refusalRetryAfter,
	}}
}
