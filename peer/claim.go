package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/banksail/banksail/claim"
	"github.com/banksail/banksail/membership"
)

// Limits and time-outs of claims.
const (
	// MaximumClaimKeyBytes limits the length of a claim's key.
	MaximumClaimKeyBytes = 512
	// claimTimeout limits the wait for one owner's answer to a claim.
	claimTimeout = 300 * time.Millisecond
	// claimStragglerTimeout limits the wait for the remaining owners once a
	// majority has granted a claim.
	claimStragglerTimeout = 20 * time.Millisecond
	// releaseTimeout limits the wait for the owners' answers to a release.
	releaseTimeout = time.Second
)

// claimTable holds the agent's state about claims.
type claimTable struct {
	// sequence numbers the agent's own claims.
	sequence atomic.Uint64
	// mutex guards the fields below. Invariants: the times passed to table
	// never decrease, because the clock is read with mutex held; once closed is
	// set, no claim is granted, so that the handover includes every granted
	// claim.
	mutex  sync.Mutex
	table  *claim.Table
	closed bool
	// pendingCalls counts the calls to owners in flight. It is incremented only
	// with mutex held and while closed is not set, so that it is safe to wait
	// for it after closed has been set.
	pendingCalls sync.WaitGroup
}

// Claim is the result of claiming a request at the nodes that own its key.
type Claim struct {
	// Decision says whether the request may run.
	Decision claim.Decision
	// Holder is the node that holds the claim if Decision is claim.Lost.
	Holder claim.Holder

	claim  claim.Claim
	owners []membership.Member
}

// ClaimRequest claims a non-repeatable request before it runs. The request may
// run only if the decision is claim.Won. If it then does not run, the caller
// passes the claim to ReleaseRequest.
func (a *Agent) ClaimRequest(ctx context.Context, key string) Claim {
	if !a.knowsOtherNodes() {
		return Claim{Decision: claim.Unavailable}
	}
	result := Claim{claim: claim.Claim{
		Key:      key,
		Holder:   a.holder(),
		Sequence: a.claims.sequence.Add(1),
	}}
	if answer := a.recordClaim(result.claim); answer.Verdict != claim.Granted {
		round := claim.NewRound(1)
		round.AddAnswer(answer)
		result.Decision, result.Holder = round.Decision(), round.Holder()
		return result
	}
	result.owners = a.claimOwners(key)
	round := a.claimAtOwners(ctx, result)
	result.Decision, result.Holder = round.Decision(), round.Holder()
	return result
}

// ReleaseRequest releases a claim whose request certainly did not run. It
// returns when the owners have answered or timed out.
func (a *Agent) ReleaseRequest(ctx context.Context, released Claim) {
	if released.claim.Key == "" {
		return
	}
	a.releaseClaim(released.claim)
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, owner := range released.owners {
		calls.Go(func() {
			if _, err := a.stub(owner.Address).ReleaseRequest(ctx, claimToWire(released.claim)); err != nil {
				a.logger.Debug().Err(err).Str("member", owner.ID).Msg("claim not released at owner; it stays until it expires")
			}
		})
	}
	calls.Wait()
}

// knowsOtherNodes reports whether the agent knows enough about the cluster to
// make claims. Without this check a node that has just started would consider
// itself the only one and run requests that another node holds.
func (a *Agent) knowsOtherNodes() bool {
	if a.machineList == nil || a.hasReadList.Load() {
		return true
	}
	return len(a.claimCandidates()) > 0
}

// holder identifies this process as the holder of its claims.
func (a *Agent) holder() claim.Holder {
	// The incarnation at start identifies the process; the member's own
	// incarnation increases whenever it refutes a suspicion.
	return claim.Holder{Node: a.selfID, Incarnation: a.startIncarnation}
}

// claimCandidates returns the other nodes that may own claims, by ID: members,
// and nodes in the machine list that are not members yet. If there are none, it
// returns the listed nodes that are considered gone: otherwise each of two nodes
// on either side of a network partition would consider itself the only one.
func (a *Agent) claimCandidates() map[string]membership.Member {
	a.nodes.mutex.Lock()
	known := append(a.nodes.core.Members(), a.nodes.core.Candidates()...)
	listedGone := a.nodes.core.ListedGone()
	a.nodes.mutex.Unlock()
	candidates := make(map[string]membership.Member)
	for _, member := range known {
		if member.ID != a.selfID && member.State < membership.Leaving {
			candidates[member.ID] = member
		}
	}
	if len(candidates) > 0 {
		return candidates
	}
	for _, member := range listedGone {
		candidates[member.ID] = member
	}
	return candidates
}

// claimOwners returns the nodes that own a claim's key.
func (a *Agent) claimOwners(key string) []membership.Member {
	candidates := a.claimCandidates()
	ids := make([]string, 0, len(candidates))
	for id := range candidates {
		ids = append(ids, id)
	}
	var owners []membership.Member
	for _, id := range claim.Owners(key, ids) {
		owners = append(owners, candidates[id])
	}
	return owners
}

// ownerAnswer is one owner's answer; failed is set if it gave no usable one.
type ownerAnswer struct {
	answer claim.Answer
	failed bool
}

// claimAtOwners sends the claim to all owners concurrently and collects their
// answers until the round is decided.
func (a *Agent) claimAtOwners(ctx context.Context, pending Claim) *claim.Round {
	if !a.beginOwnerCalls(len(pending.owners)) {
		return failedRound()
	}
	round := claim.NewRound(len(pending.owners))
	answers := make(chan ownerAnswer, len(pending.owners))
	calls := context.WithoutCancel(ctx) // all owners should record the claim, even if the caller no longer waits
	for _, owner := range pending.owners {
		go func() {
			defer a.claims.pendingCalls.Done()
			answers <- a.claimAtOwner(calls, owner, pending.claim)
		}()
	}
	return collectAnswers(ctx, round, answers)
}

// failedRound returns a round whose only owner failed to answer.
func failedRound() *claim.Round {
	round := claim.NewRound(1)
	round.AddFailure()
	return round
}

// beginOwnerCalls adds to the calls in flight; it returns false, and adds
// nothing, once the claim table is closed.
func (a *Agent) beginOwnerCalls(calls int) bool {
	a.claims.mutex.Lock()
	defer a.claims.mutex.Unlock()
	if a.claims.closed {
		return false
	}
	a.claims.pendingCalls.Add(calls)
	return true
}

// collectAnswers adds answers to the round until it is decided. It closes the
// round early when ctx is done, or claimStragglerTimeout after a majority.
func collectAnswers(ctx context.Context, round *claim.Round, answers <-chan ownerAnswer) *claim.Round {
	var stragglerTimeout <-chan time.Time
	for round.Decision() == claim.Undecided {
		select {
		case answer := <-answers:
			if answer.failed {
				round.AddFailure()
			} else {
				round.AddAnswer(answer.answer)
			}
		case <-stragglerTimeout:
			round.Close()
		case <-ctx.Done():
			round.Close()
		}
		if stragglerTimeout == nil && round.HasMajority() {
			stragglerTimeout = time.After(claimStragglerTimeout)
		}
	}
	return round
}

// claimAtOwner sends the claim to one owner. A full table at the owner, or an
// unknown verdict, counts as a failure.
func (a *Agent) claimAtOwner(ctx context.Context, owner membership.Member, entry claim.Claim) ownerAnswer {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := a.stub(owner.Address).ClaimRequest(ctx, claimToWire(entry))
	if err != nil {
		a.logger.Debug().Err(err).Str("member", owner.ID).Msg("owner did not answer a claim")
		return ownerAnswer{failed: true}
	}
	switch reply.GetVerdict() {
	case RequestClaimAnswer_VERDICT_GRANTED:
		return ownerAnswer{answer: claim.Answer{Verdict: claim.Granted}}
	case RequestClaimAnswer_VERDICT_HELD:
		holder := claim.Holder{Node: reply.GetHolder(), Incarnation: reply.GetHolderIncarnation()}
		return ownerAnswer{answer: claim.Answer{Verdict: claim.Held, Holder: holder}}
	default:
		return ownerAnswer{failed: true}
	}
}

// recordClaim records a claim in this node's own table. The verdict is
// claim.Full once the table is closed.
func (a *Agent) recordClaim(entry claim.Claim) claim.Answer {
	a.claims.mutex.Lock()
	defer a.claims.mutex.Unlock()
	if a.claims.closed {
		return claim.Answer{Verdict: claim.Full}
	}
	return a.claims.table.Claim(a.now(), entry)
}

// releaseClaim removes a claim from this node's own table.
func (a *Agent) releaseClaim(entry claim.Claim) {
	a.claims.mutex.Lock()
	defer a.claims.mutex.Unlock()
	a.claims.table.Release(entry)
}

// ClaimRequest implements Peer.
func (s service) ClaimRequest(_ context.Context, request *RequestClaim) (*RequestClaimAnswer, error) {
	made, err := claimFromWire(request)
	if err != nil {
		return nil, err
	}
	answer := s.agent.recordClaim(made)
	return &RequestClaimAnswer{
		Verdict:           verdictToWire[answer.Verdict],
		Holder:            answer.Holder.Node,
		HolderIncarnation: answer.Holder.Incarnation,
	}, nil
}

// ReleaseRequest implements Peer.
func (s service) ReleaseRequest(_ context.Context, request *RequestClaim) (*ReleaseRequestResponse, error) {
	made, err := claimFromWire(request)
	if err != nil {
		return nil, err
	}
	s.agent.releaseClaim(made)
	return &ReleaseRequestResponse{}, nil
}

var verdictToWire = map[claim.Verdict]RequestClaimAnswer_Verdict{
	claim.Granted: RequestClaimAnswer_VERDICT_GRANTED,
	claim.Held:    RequestClaimAnswer_VERDICT_HELD,
	claim.Full:    RequestClaimAnswer_VERDICT_FULL,
}

func claimToWire(entry claim.Claim) *RequestClaim {
	return &RequestClaim{
		Key:               entry.Key,
		Holder:            entry.Holder.Node,
		HolderIncarnation: entry.Holder.Incarnation,
		Sequence:          entry.Sequence,
	}
}

// claimFromWire decodes and validates a claim.
func claimFromWire(request *RequestClaim) (claim.Claim, error) {
	key, holder := request.GetKey(), request.GetHolder()
	if key == "" || len(key) > MaximumClaimKeyBytes {
		return claim.Claim{}, twirp.InvalidArgumentError("key", "is missing or out of bounds")
	}
	if holder == "" || len(holder) > membership.MaximumIDBytes {
		return claim.Claim{}, twirp.InvalidArgumentError("holder", "is missing or out of bounds")
	}
	return claim.Claim{
		Key:      key,
		Holder:   claim.Holder{Node: holder, Incarnation: request.GetHolderIncarnation()},
		Sequence: request.GetSequence(),
	}, nil
}
