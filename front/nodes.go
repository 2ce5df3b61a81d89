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
	// nodesUpdateInterval is the time between two looks at the nodes: many of them change at
	// once when a zone is lost, and each look sorts them all.
	nodesUpdateInterval = 50 * time.Millisecond
	// joinTimeout is how long a node waits at its start for others to tell it who is
	// there; what all nodes share is not its own until then.
	joinTimeout = 2 * time.Second
	// bootstrapDelay is how long a node has had to keep an entry in the registry before
	// it writes one, as nodes that start learn of each other one by one.
	bootstrapDelay = time.Second
	// loneBootstrapSpread spreads the first entries of nodes that know nobody: the others
	// hear of the first one.
	loneBootstrapSpread = 4 * time.Second
)

// nodesLoop takes what is known of the nodes whenever that has changed.
func (f *Front) nodesLoop(ctx context.Context) {
	ticker := time.NewTicker(bootstrapDelay) // what depends on time alone
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.nodesWake:
		case <-ticker.C:
		}
		f.updateNodes()
		_ = clock.Sleep(ctx, nodesUpdateInterval) // the loop looks at ctx
	}
}

// wakeNodesLoop arranges that the nodes are looked at soon.
func (f *Front) wakeNodesLoop() {
	select {
	case f.nodesWake <- struct{}{}:
	default:
	}
}

// updateNodes decides who serves callers, and what of that is this node's part. One that
// is cut off from all others stays with what it knew: they may well be there.
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

// updatePeerAvailability tells the gateway whether another node serves, as far as this one knows.
func (f *Front) updatePeerAvailability(serving []discovery.Node) {
	available := slices.ContainsFunc(serving, func(n discovery.Node) bool { return !f.isSelf(n) && !n.Leaving && !n.Unable })
	if available != f.peersAvailable {
		f.peersAvailable = available
		f.gateway.SetPeersAvailable(available)
	}
}

// withRememberedNodes adds the nodes of other zones while none of them is seen any more and
// this zone's nodes can't reach enough servers: then the way there is cut, and they may
// well serve callers, who may reach them.
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

// indexAmong is this node's place among the nodes of its role, by ID.
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

// candidatesWhenIsolated lists the nodes that may serve callers while none answers this one. Where
// the registry is silent, too, this node is cut off, and the others may well be there; one
// that hears the registry is not, and callers who ask it are safe with itself alone: named
// the others, they tried nodes that were gone for good.
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

// hasFreshView reports whether what the node believes of the registry is fresh.
func (f *Front) hasFreshView() bool {
	age := f.viewAge()
	return age >= 0 && age <= shortestBound(f.options.Settings)
}

// logRole writes a line when the node's own part among the nodes has changed.
func (f *Front) logRole(role routing.NodesChanged) {
	if f.role.IsServing != role.IsServing || f.role.Live == 0 {
		f.options.Logger.Info().Bool("serves", role.IsServing).Int("serving", role.Serving).Int("live", role.Live).Msg("role changed")
	}
}

// updateBootstrapEntry decides whether this node keeps an entry in the registry.
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

// drawLoneBootstrapDelay draws a node's part of loneBootstrapSpread.
func drawLoneBootstrapDelay(seed uint64) time.Duration {
	return time.Duration(rand.New(rand.NewPCG(seed, 0)).Int64N(int64(loneBootstrapSpread)))
}

// servingNodeCount is the number of nodes to which callers are sent.
func (f *Front) servingNodeCount() int {
	if serving := f.servingNodes.Load(); serving != nil {
		return len(*serving)
	}
	return 0
}
