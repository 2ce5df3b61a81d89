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

// dedupPartitions is the number of partitions, by hash of the request key, that
// reduce lock contention.
const dedupPartitions = 16

// requestDeduplicator runs each non-repeatable request at most once on this
// node within the window. The window is kept in memory; claims at other nodes
// (claim.go) cover a crash of this node. See docs/design/at-most-once.md for
// the exact guarantees.
type requestDeduplicator struct {
	partitions [dedupPartitions]dedupPartition
}

// dedupPartition holds the requests whose key hashes to it.
type dedupPartition struct {
	mutex sync.Mutex
	// mutex guards the fields below. Invariant: running holds exactly the
	// requests that the deduplicator has in progress.
	deduplicator *retry.Deduplicator
	running      map[string]*ongoingRun
	// outcomes bounds the memory used by the outcomes that the deduplicator
	// records.
	outcomes recordedOutcomes
}

// ongoingRun is a non-repeatable request in progress.
type ongoingRun struct {
	// done is closed once result is set.
	done   chan struct{}
	result caller.Result
}

func newRequestDeduplicator(window settings.AtMostOnce) *requestDeduplicator {
	deduplicator := &requestDeduplicator{}
	perPart := (window.Requests + dedupPartitions - 1) / dedupPartitions
	for index := range deduplicator.partitions {
		deduplicator.partitions[index].deduplicator = retry.NewDeduplicator(retry.DeduplicatorOptions{Window: window.Window, MaxEntries: perPart})
		deduplicator.partitions[index].running = make(map[string]*ongoingRun)
		deduplicator.partitions[index].outcomes = recordedOutcomes{
			limit:  int(window.ResultBytes / dedupPartitions),
			window: window.Window,
		}
	}
	return deduplicator
}

func (o *requestDeduplicator) partition(key string) *dedupPartition {
	return &o.partitions[xxhash.Sum64String(key)%dedupPartitions]
}

// requestKey returns the deduplication key: a request ID is unique within its
// service.
func requestKey(request caller.Request) string {
	return request.Service + "\x00" + request.RequestID
}

// requestDigest hashes everything that determines the effect of the request.
// The deadline is excluded, so that a caller can retry with its remaining time.
func requestDigest(request caller.Request) retry.Digest {
	hash := sha256.New()
	for _, text := range []string{request.Service, request.Class} {
		_ = binary.Write(hash, binary.BigEndian, uint64(len(text)))
		hash.Write([]byte(text))
	}
	_ = binary.Write(hash, binary.BigEndian, math.Float64bits(request.MinimumCoverage))
	hash.Write(request.Body)
	return retry.Digest(hash.Sum(nil))
}

// runAtMostOnce runs a non-repeatable request unless its ID was run within the
// window. A duplicate gets the recorded outcome or waits for the run in
// progress; reusing an ID for a different request is an error.
func (n *Node) runAtMostOnce(ctx context.Context, serviceShard *shard, request caller.Request) (caller.Result, error) {
	key := requestKey(request)
	part := n.requestDeduplicator.partition(key)
	part.mutex.Lock()
	verdict, recorded := part.deduplicator.Begin(n.now(), key, requestDigest(request))
	switch verdict {
	case retry.Accepted:
		run := &ongoingRun{done: make(chan struct{})}
		part.running[key] = run
		part.mutex.Unlock()
		var ran bool
		run.result, ran = n.runWithClaim(ctx, serviceShard, request, key)
		n.completeRun(part, key, run, ran)
		return run.result, nil
	case retry.InProgress:
		run := part.running[key]
		part.mutex.Unlock()
		return n.joinRun(ctx, run, request), nil
	case retry.Completed:
		result := recorded.(*recordedOutcome).duplicateResult()
		part.mutex.Unlock()
		n.metrics.Duplicates.Inc()
		return result, nil
	case retry.Full:
		retryAfter := part.deduplicator.RetryAfter(n.now())
		part.mutex.Unlock()
		result := n.reject(request, dispatch.ReasonOverload)
		result.Outcome.RetryAfter = retryAfter
		return result, nil
	default:
		part.mutex.Unlock()
		return caller.Result{}, caller.NewReusedIDError()
	}
}

// completeRun records the outcome of a run. A request that did not run on this
// node is removed, so that its caller may retry.
func (n *Node) completeRun(part *dedupPartition, key string, run *ongoingRun, ran bool) {
	part.mutex.Lock()
	defer part.mutex.Unlock()
	delete(part.running, key)
	if ran {
		now := n.now()
		part.deduplicator.Complete(now, key, part.outcomes.add(now, run.result))
	} else {
		part.deduplicator.Abandon(key)
	}
	close(run.done)
}

// contains reports whether the request with this key is in progress on this
// node or ran within the window.
func (o *requestDeduplicator) contains(now time.Duration, key string) bool {
	part := o.partition(key)
	part.mutex.Lock()
	defer part.mutex.Unlock()
	return part.deduplicator.Contains(now, key)
}

// joinRun waits for the outcome of the same request already in progress, at
// most until the deadline of the duplicate.
func (n *Node) joinRun(ctx context.Context, run *ongoingRun, request caller.Request) caller.Result {
	n.metrics.Duplicates.Inc()
	deadline := time.NewTimer(request.Deadline)
	defer deadline.Stop()
	select {
	case <-run.done:
		result := run.result
		result.Duplicate = true
		return result
	case <-deadline.C:
		return unknownDuplicateResult(dispatch.ReasonDeadline)
	case <-ctx.Done():
		return unknownDuplicateResult(dispatch.ReasonCallerGone)
	}
}

// unknownDuplicateResult returns the result for a duplicate of a request whose
// outcome cannot be returned.
func unknownDuplicateResult(reason dispatch.Reason) caller.Result {
	return caller.Result{Duplicate: true, Outcome: dispatch.Outcome{
		Execution:  dispatch.ExecutionUnknown,
		Reason:     reason,
		RetryAfter: rejectionRetryAfter,
	}}
}
