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
	// maximumClaimsPerHandover limits the claims in one message, so that it stays
	// below maximumGossipBytes with keys and holders of maximum length.
	maximumClaimsPerHandover = 64
	// handoverTimeout limits the whole handover of a leaving node's claims.
	handoverTimeout = 2 * time.Second
	// handoverConcurrency limits the handover messages in flight.
	handoverConcurrency = 8
)

// handoverBatch is one handover message's claims, for one node.
type handoverBatch struct {
	member  string
	address string
	claims  []claim.ActiveClaim
}

// handOver sends the claims in this node's table to all their owners among the
// remaining nodes. The node that replaces this one as an owner would not be
// enough, because a node that joined after a claim was made may be an owner that
// does not know it. Once the handover has begun no claim is granted, as it would
// be lost.
func (a *Agent) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	batches := a.handoverBatches(a.closeClaimTable())
	var sending sync.WaitGroup
	slots := make(chan struct{}, handoverConcurrency)
	for _, batch := range batches {
		slots <- struct{}{}
		sending.Go(func() {
			defer func() { <-slots }()
			a.sendBatch(ctx, batch)
		})
	}
	sending.Wait()
}

// closeClaimTable stops the granting of claims and returns the active ones.
func (a *Agent) closeClaimTable() []claim.ActiveClaim {
	a.claims.mutex.Lock()
	defer a.claims.mutex.Unlock()
	a.claims.closed = true
	return a.claims.table.ActiveClaims(a.now())
}

// handoverBatches groups the claims by their owners, into batches of at most
// maximumClaimsPerHandover. A claim's holder is not considered as an owner.
func (a *Agent) handoverBatches(activeClaims []claim.ActiveClaim) []handoverBatch {
	candidates := a.claimCandidates()
	ids := make([]string, 0, len(candidates))
	for id := range candidates {
		ids = append(ids, id)
	}
	owned := make(map[string][]claim.ActiveClaim)
	for _, active := range activeClaims {
		holder := active.Claim.Holder.Node
		others := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == holder })
		for _, owner := range claim.Owners(active.Claim.Key, others) {
			owned[owner] = append(owned[owner], active)
		}
	}
	var batches []handoverBatch
	for id, claims := range owned {
		for part := range slices.Chunk(claims, maximumClaimsPerHandover) {
			batches = append(batches, handoverBatch{member: id, address: candidates[id].Address, claims: part})
		}
	}
	return batches
}

// sendBatch sends one handover message; a failure is only logged.
func (a *Agent) sendBatch(ctx context.Context, batch handoverBatch) {
	request := &AdoptClaimsRequest{}
	for _, active := range batch.claims {
		request.Claims = append(request.Claims, &KeptClaim{
			Claim:       claimToWire(active.Claim),
			RemainingMs: uint32(active.Remaining.Milliseconds()),
		})
	}
	if _, err := a.stub(batch.address).AdoptClaims(ctx, request); err != nil {
		a.logger.Warn().Err(err).Str("member", batch.member).Int("claims", len(batch.claims)).Msg("claims not handed over")
	}
}

// AdoptClaims implements Peer.
func (s service) AdoptClaims(_ context.Context, request *AdoptClaimsRequest) (*AdoptClaimsResponse, error) {
	if len(request.GetClaims()) > maximumClaimsPerHandover {
		return nil, twirp.InvalidArgumentError("claims", "are too many")
	}
	for _, message := range request.GetClaims() {
		entry, err := claimFromWire(message.GetClaim())
		if err != nil {
			return nil, err
		}
		s.agent.adoptClaim(claim.ActiveClaim{
			Claim:     entry,
			Remaining: time.Duration(message.GetRemainingMs()) * time.Millisecond,
		})
	}
	return &AdoptClaimsResponse{}, nil
}

// adoptClaim adds a claim that a leaving node handed over to this node's table.
func (a *Agent) adoptClaim(active claim.ActiveClaim) {
	a.claims.mutex.Lock()
	defer a.claims.mutex.Unlock()
	a.claims.table.Adopt(a.now(), active)
}
