package node

import (
	"context"
	"time"

	"github.com/banksail/banksail/caller"
	"github.com/banksail/banksail/claim"
	"github.com/banksail/banksail/dispatch"
)

// claimRetryAfter is told to callers whose request ID could not be claimed.
const claimRetryAfter = time.Second

// runClaimed runs a not-repeatable request once its ID is claimed at other
// nodes, so that none of them runs it again when this node has died. ran is
// false when this node certainly did not run it, so that it may be asked again.
func (n *Node) runClaimed(ctx context.Context, carrier *shard, request caller.Request, key string) (result caller.Result, ran bool) {
	asked := n.now()
	claimContext, cancel := context.WithTimeout(ctx, request.Deadline)
	made := n.agent.ClaimRequest(claimContext, key)
	cancel()
	request.Deadline -= n.now() - asked
	switch {
	case made.Decision == claim.Lost:
		result = n.heldElsewhere(request, made.Holder)
	case request.Deadline <= 0:
		result = n.refused(request, dispatch.ReasonDeadline)
	case made.Decision == claim.Unavailable:
		result = n.refused(request, caller.ReasonNoQuorum)
	default:
		result = n.run(ctx, carrier, request)
	}
	ran = made.Decision == claim.Won && result.Outcome.Execution != dispatch.ExecutionNotRun
	if !ran {
		n.running.Go(func() { n.agent.ReleaseRequest(n.background, made) })
	}
	return result, ran
}

// heldElsewhere is the answer to a request that another node may have run.
func (n *Node) heldElsewhere(request caller.Request, holder claim.Holder) caller.Result {
	n.metrics.Duplicates.Inc()
	n.log.Info().
		Str("request_id", request.RequestID).
		Str("holder", holder.Node).
		Msg("request is held by another node")
	outcome := dispatch.Outcome{
		Execution:  dispatch.ExecutionUnknown,
		Reason:     caller.ReasonHeldElsewhere,
		RetryAfter: claimRetryAfter,
	}
	n.record(request, finished{outcome: outcome})
	return caller.Result{Outcome: outcome, Duplicate: true}
}
