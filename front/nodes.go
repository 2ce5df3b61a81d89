package front

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banksail/banksail/directory"
	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/routing"
)

const (
	// nodesUpdateInterval is the minimum time between two updates of the nodes: many nodes change
	// at once when a zone is lost, and each update sorts all of them.
	nodesUpdateInterval = 50 * time.Millisecond
	// joinTimeout is how long a starting node waits for other nodes to send it the
	// membership. Until then it claims no part of totals that all nodes share.
	joinTimeout = 2 * time.Second
	// bootstrapDelay is how long a node must have been a bootstrap node before it writes its
	// registry entry, as starting nodes discover each other one by one.
	bootstrapDelay = time.Second
	// loneBootstrapSpread is the range of the random delay before the first entry of a node that
	// knows no other, so that the other nodes discover the first one to write.
	loneBootstrapSpread = 4 * time.Second
)

// nodesLoop runs updateNodes whenever the nodes may have changed, and once per bootstrapDelay.
func (f *Front) nodesLoop(ctx context.Context) {
	ticker := time.NewTicker(bootstrapDelay) // for conditions that depend on time alone
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.nodesWake:
		case <-ticker.C:
		}
		f.updateNodes()
		_ = clock.Sleep(ctx, nodesUpdateInterval) // the select above handles the end of ctx
	}
}

// wakeNodesLoop schedules an update of the nodes.
func (f *Front) wakeNodesLoop() {
	select {
	case f.nodesWake <- struct{}{}:
	default:
	}
}

// updateNodes decides which nodes serve callers and passes this node's role to the gateway. A node
// that is isolated from all others keeps its role, as the others are probably still running.
func (f *Front) updateNodes() {
	f.agent.SetUnable(f.unable.Load())
	nodes := f.withRememberedNodes(f.agent.Nodes())
	isolated := f.agent.Isolated()
	f.updateBootstrapEntry(nodes)
	if isolated {
		nodes = f.candidatesWhenIsolated(nodes)
	}
	serving := directory.ServingNodes(nodes, int(f.minConnections.Load()), f.options.Disabled)
	f.servingNodes.Store(&serving)
	f.updatePeerAvailability(serving)
	f.liveNodeCount.Store(int64(len(nodes)))
	if isolated || !f.agent.Joined() && time.Since(f.startedAt) < joinTimeout {
		return
	}
	role := routing.NodesChanged{
		Live:      len(nodes),
		Serving:   max(len(serving), 1),
		IsServing: slices.ContainsFunc(serving, f.isSelf) || len(serving) == len(nodes),
	}
	role.Index = f.indexAmong(nodes, serving, role.IsServing)
	if role == f.role {
		return
	}
	f.logRole(role)
	f.role = role
	f.gateway.SetNodes(role)
}

// updatePeerAvailability informs the gateway whether another node, as far as is known, serves
// callers.
func (f *Front) updatePeerAvailability(serving []discovery.Node) {
	available := slices.ContainsFunc(serving, func(n discovery.Node) bool { return !f.isSelf(n) && !n.Leaving && !n.Unable })
	if available != f.peersAvailable {
		f.peersAvailable = available
		f.gateway.SetPeersAvailable(available)
	}
}

// withRememberedNodes adds the last seen nodes of other zones while none of them is seen and nodes
// of this zone cannot reach enough servers. In that case the network between the zones is probably
// cut, and callers may still reach those nodes, which may serve them. Added nodes are marked as
// suspect.
func (f *Front) withRememberedNodes(nodes []discovery.Node) []discovery.Node {
	unable := slices.ContainsFunc(nodes, func(n discovery.Node) bool { return n.Zone == f.self.Zone && n.Unable })
	otherZoneSeen := slices.ContainsFunc(nodes, func(n discovery.Node) bool { return n.Zone != f.self.Zone && !n.Suspect })
	if !unable || otherZoneSeen {
		f.rememberedNodes = nodes
		return nodes
	}
	listed := make(map[string]struct{}, len(nodes))
	for _, n := range nodes {
		listed[n.ID] = struct{}{}
	}
	all := slices.Clone(nodes)
	for _, n := range f.rememberedNodes {
		if _, isListed := listed[n.ID]; !isListed && n.Zone != f.self.Zone {
			n.Suspect = true
			all = append(all, n)
		}
	}
	slices.SortFunc(all, func(a, b discovery.Node) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// indexAmong returns this node's index among the nodes with the same role, ordered by ID.
func (f *Front) indexAmong(nodes, serving []discovery.Node, selfServing bool) int {
	index := 0
	for _, n := range nodes {
		isServing := len(serving) == len(nodes) || slices.ContainsFunc(serving, func(s discovery.Node) bool { return s.ID == n.ID })
		if isServing == selfServing && n.ID < f.self.ID {
			index++
		}
	}
	return index
}

func (f *Front) isSelf(n discovery.Node) bool { return n.ID == f.self.ID }

// candidatesWhenIsolated returns the nodes that may serve callers while no other node answers this
// one. If the registry does not answer either, this node is isolated and the others are probably
// running: they are no longer suspects. If the view of the registry is fresh, suspects are left
// out, and callers that ask this node are served by it alone; otherwise they would try nodes that
// are permanently gone.
func (f *Front) candidatesWhenIsolated(nodes []discovery.Node) []discovery.Node {
	if f.hasFreshView() {
		return slices.DeleteFunc(slices.Clone(nodes), func(n discovery.Node) bool { return n.Suspect })
	}
	cleared := slices.Clone(nodes)
	for i := range cleared {
		cleared[i].Suspect = false
	}
	return cleared
}

// hasFreshView reports whether the node's view of the registry is no older than the shortest bound.
func (f *Front) hasFreshView() bool {
	age := f.viewAge()
	return age >= 0 && age <= shortestBound(f.options.Settings)
}

// logRole logs a change of this node between serving and not serving callers.
func (f *Front) logRole(role routing.NodesChanged) {
	if f.role.IsServing != role.IsServing || f.role.Live == 0 {
		f.options.Logger.Info().Bool("serves", role.IsServing).Int("serving", role.Serving).Int("live", role.Live).Msg("role changed")
	}
}

// updateBootstrapEntry decides whether this node keeps a bootstrap entry in the registry.
func (f *Front) updateBootstrapEntry(nodes []discovery.Node) {
	delay := bootstrapDelay
	if len(nodes) <= 1 {
		delay += f.loneBootstrapDelay
	}
	if !slices.ContainsFunc(discovery.BootstrapNodes(nodes), f.isSelf) {
		f.bootstrapSince = time.Time{}
		f.announcer.SetEnabled(false)
		return
	}
	if f.bootstrapSince.IsZero() {
		f.bootstrapSince = time.Now()
	}
	if time.Since(f.bootstrapSince) >= delay {
		f.announcer.SetEnabled(true)
	}
}

// drawLoneBootstrapDelay draws a random delay below loneBootstrapSpread.
func drawLoneBootstrapDelay(seed uint64) time.Duration {
	return time.Duration(rand.New(rand.NewPCG(seed, 0)).Int64N(int64(loneBootstrapSpread)))
}

// servingNodeCount returns the number of nodes to which callers are sent.
func (f *Front) servingNodeCount() int {
	if serving := f.servingNodes.Load(); serving != nil {
		return len(*serving)
	}
	return 0
}
