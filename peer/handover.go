package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/banksail/banksail/claim"
)

const (
	// maximumAdopted bounds the claims in one message, which stays below
	// maximumGossipBytes with keys and holders of the greatest length.
	maximumAdopted = 64
	// handoverTimeout bounds the whole handover of a leaving node's claims.
	handoverTimeout = 2 * time.Second
	// handoverParallel bounds the messages of a handover that are out at once.
	handoverParallel = 8
)

// batch is a part of the handover, for one node.
type batch struct {
	member  string
	address string
	claims  []claim.ActiveClaim
}

// handOver gives the claims that this node keeps to all their owners among the
// nodes that stay: not only to the one that takes its place, since a node that
// joined after the claim was made is an owner that does not know it. No claim is
// granted from then on: it would be lost.
func (a *Agent) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	batches := a.handoverBatches(a.closeLedger())
	var sending sync.WaitGroup
	slots := make(chan struct{}, handoverParallel)
	for _, one := range batches {
		slots <- struct{}{}
		sending.Go(func() {
			defer func() { <-slots }()
			a.sendBatch(ctx, one)
		})
	}
	sending.Wait()
}

// closeLedger ends the granting of claims and returns those that are kept.
func (a *Agent) closeLedger() []claim.ActiveClaim {
	a.claims.mutex.Lock()
	defer a.claims.mutex.Unlock()
	a.claims.closed = true
	return a.claims.ledger.ActiveClaims(a.now())
}

// handoverBatches divides the claims by their owners.
func (a *Agent) handoverBatches(kept []claim.ActiveClaim) []batch {
	candidates := a.claimCandidates()
	ids := make([]string, 0, len(candidates))
	for id := range candidates {
		ids = append(ids, id)
	}
	owned := make(map[string][]claim.ActiveClaim)
	for _, one := range kept {
		holder := one.Claim.Holder.Node
		others := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == holder })
		for _, owner := range claim.Owners(one.Claim.Key, others) {
			owned[owner] = append(owned[owner], one)
		}
	}
	var batches []batch
	for id, claims := range owned {
		for part := range slices.Chunk(claims, maximumAdopted) {
			batches = append(batches, batch{member: id, address: candidates[id].Address, claims: part})
		}
	}
	return batches
}

func (a *Agent) sendBatch(ctx context.Context, one batch) {
	request := &AdoptClaimsRequest{}
	for _, kept := range one.claims {
		request.Claims = append(request.Claims, &KeptClaim{
			Claim:       claimToWire(kept.Claim),
			RemainingMs: uint32(kept.Remaining.Milliseconds()),
		})
	}
	if _, err := a.stub(one.address).AdoptClaims(ctx, request); err != nil {
		a.logger.Warn().Err(err).Str("member", one.member).Int("claims", len(one.claims)).Msg("claims not handed over")
	}
}

// AdoptClaims implements Peer.
func (s service) AdoptClaims(_ context.Context, request *AdoptClaimsRequest) (*AdoptClaimsResponse, error) {
	if len(request.GetClaims()) > maximumAdopted {
		return nil, twirp.InvalidArgumentError("claims", "are too many")
	}
	for _, message := range request.GetClaims() {
		made, err := claimFromWire(message.GetClaim())
		if err != nil {
			return nil, err
		}
		s.agent.adoptClaim(claim.ActiveClaim{
			Claim:     made,
			Remaining: time.Duration(message.GetRemainingMs()) * time.Millisecond,
		})
	}
	return &AdoptClaimsResponse{}, nil
}

func (a *Agent) adoptClaim(kept claim.ActiveClaim) {
	a.claims.mutex.Lock()
	defer a.claims.mutex.Unlock()
	a.claims.ledger.Adopt(a.now(), kept)
}
