package node

import (
	"context"
	"time"

	"github.com/banksail/banksail/caller"
	"github.com/banksail/banksail/claim"
	"github.com/banksail/banksail/dispatch"
)

// claimRetryAfter is the Retry-After value for requests whose ID is claimed by
// another node.
const claimRetryAfter = time.Second

// runWithClaim claims the ID of a non-repeatable request at other nodes and
// then runs it, so that no other node runs it again if this node crashes. ran
// is false if the request certainly did not run on this node; the claim is then
// released and the caller may retry.
func (n *Node) runWithClaim(ctx context.Context, serviceShard *shard, request caller.Request, key string) (result caller.Result, ran bool) {
	startedAt := n.now()
	claimContext, cancel := context.WithTimeout(ctx, request.Deadline)
	claimed := n.agent.ClaimRequest(claimContext, key)
	cancel()
	request.Deadline -= n.now() - startedAt
	switch {
	case claimed.Decision == claim.Lost:
		result = n.heldElsewhereResult(request, claimed.Holder)
	case request.Deadline <= 0:
		result = n.reject(request, dispatch.ReasonDeadline)
	case claimed.Decision == claim.Unavailable:
		result = n.reject(request, caller.ReasonNoQuorum)
	default:
		result = n.run(ctx, serviceShard, request)
	}
	ran = claimed.Decision == claim.Won && result.Outcome.Execution != dispatch.ExecutionNotRun
	if !ran {
		n.running.Go(func() { n.agent.ReleaseRequest(n.background, claimed) })
	}
	return result, ran
}

// heldElsewhereResult returns the result for a request that another node has
// claimed and may have run.
func (n *Node) heldElsewhereResult(request caller.Request, holder claim.Holder) caller.Result {
	n.metrics.Duplicates.Inc()
	n.log.Info().
		Str("request_id", request.RequestID).
		Str("holder", holder.Node).
		Msg("request ID is claimed by another node")
	outcome := dispatch.Outcome{
		Execution:  dispatch.ExecutionUnknown,
		Reason:     caller.ReasonHeldElsewhere,
		RetryAfter: claimRetryAfter,
	}
	n.recordOutcome(request, queryResult{outcome: outcome})
	return caller.Result{Outcome: outcome, Duplicate: true}
}
