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

// Times and bounds of claims.
const (
	// MaximumClaimKeyBytes bounds the key of a claim.
	MaximumClaimKeyBytes = 512
	// claimTimeout bounds one owner's answer.
	claimTimeout = 300 * time.Millisecond
	// claimStragglerTimeout is how long a claim that a majority has granted waits for
	// the other owners.
	claimStragglerTimeout = 20 * time.Millisecond
	// releaseTimeout bounds one owner's answer to a release.
	releaseTimeout = time.Second
)

// claimTable is the shard of the agent's state about claims.
type claimTable struct {
	// sequence numbers the agent's own claims.
	sequence atomic.Uint64
	// mutex guards the fields below. Invariants: ledger sees times that never
	// decrease, as the clock is read under the lock; once closed is set, the
	// ledger grants nothing, so that all it granted was handed over.
	mutex  sync.Mutex
	table  *claim.Table
	closed bool
	// pendingCalls counts the calls to owners that are out. It grows only under mutex
	// and while closed is not set, so that waiting for it after that is safe.
	pendingCalls sync.WaitGroup
}

// Claim is a claim that was made at a request's owners.
type Claim struct {
	// Decision tells whether the request may run.
	Decision claim.Decision
	// Holder is the node that has the request, when the decision is lost.
	Holder claim.Holder

	claim  claim.Claim
	owners []membership.Member
}

// ClaimRequest claims a not-repeatable request before it runs. It must run only
// when the decision is Won. A claim whose request did not run is to be given to
// ReleaseRequest.
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

// ReleaseRequest takes back a claim whose request certainly did not run. It
// returns when the owners have answered or their time is up.
func (a *Agent) ReleaseRequest(ctx context.Context, released Claim) {
	if released.claim.Key == "" {
		return
	}
	a.releaseClaim(released.claim)
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, owner := range released.owners {
		asked.Go(func() {
			if _, err := a.stub(owner.Address).ReleaseRequest(ctx, claimToWire(released.claim)); err != nil {
				a.logger.Debug().Err(err).Str("member", owner.ID).Msg("claim not released; it lapses")
			}
		})
	}
	asked.Wait()
}

// knowsOtherNodes reports whether the agent knows the other nodes: a node that has
// just started would otherwise take itself for the only one, and run what
// another node holds.
func (a *Agent) knowsOtherNodes() bool {
	if a.machineList == nil || a.hasReadList.Load() {
		return true
	}
	return len(a.claimCandidates()) > 0
}

func (a *Agent) holder() claim.Holder {
	// The incarnation that the process started with names the process; the
	// member's own grows when it refutes a suspicion.
	return claim.Holder{Node: a.selfID, Incarnation: a.startIncarnation}
}

// claimCandidates lists the other nodes that may be owners, by ID: members, and
// nodes that the machine list names and that were not heard of yet. Where that
// leaves none, listed nodes that are taken for gone count: each of two nodes that
// are cut off from each other would otherwise take itself for the only one.
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

// ownerAnswer is one owner's answer; failed when there was none.
type ownerAnswer struct {
	answer claim.Answer
	failed bool
}

// claimAtOwners asks all owners at once and collects their answers.
func (a *Agent) claimAtOwners(ctx context.Context, pending Claim) *claim.Round {
	if !a.beginOwnerCalls(len(pending.owners)) {
		return failedRound()
	}
	round := claim.NewRound(len(pending.owners))
	answers := make(chan ownerAnswer, len(pending.owners))
	calls := context.WithoutCancel(ctx) // a claim should stand at all owners, also when nobody waits
	for _, owner := range pending.owners {
		go func() {
			defer a.claims.pendingCalls.Done()
			answers <- a.claimAtOwner(calls, owner, pending.claim)
		}()
	}
	return collectAnswers(ctx, round, answers)
}

// failedRound is a round that an owner did not answer.
func failedRound() *claim.Round {
	round := claim.NewRound(1)
	round.AddFailure()
	return round
}

// beginOwnerCalls counts calls that are about to start; it is false once the agent ends.
func (a *Agent) beginOwnerCalls(calls int) bool {
	a.claims.mutex.Lock()
	defer a.claims.mutex.Unlock()
	if a.claims.closed {
		return false
	}
	a.claims.pendingCalls.Add(calls)
	return true
}

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

func (a *Agent) claimAtOwner(ctx context.Context, owner membership.Member, entry claim.Claim) ownerAnswer {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := a.stub(owner.Address).ClaimRequest(ctx, claimToWire(entry))
	if err != nil {
		a.logger.Debug().Err(err).Str("member", owner.ID).Msg("no answer to a claim")
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

func (a *Agent) recordClaim(entry claim.Claim) claim.Answer {
	a.claims.mutex.Lock()
	defer a.claims.mutex.Unlock()
	if a.claims.closed {
		return claim.Answer{Verdict: claim.Full}
	}
	return a.claims.table.Claim(a.now(), entry)
}

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
