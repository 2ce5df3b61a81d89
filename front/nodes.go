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
	// nodesPause is the time between two looks at the nodes: many of them change at
	// once when a zone is lost, and each look sorts them all.
	nodesPause = 50 * time.Millisecond
	// joinTime is how long a node waits at its start for others to tell it who is
	// there; what all nodes share is not its own until then.
	joinTime = 2 * time.Second
	// anchorAfter is how long a node has had to keep an entry in the registry before
	// it writes one, as nodes that start learn of each other one by one.
	anchorAfter = time.Second
	// loneAnchorSpread spreads the first entries of nodes that know nobody: the others
	// hear of the first one.
	loneAnchorSpread = 4 * time.Second
)

// nodesLoop takes what is known of the nodes whenever that has changed.
func (f *Front) nodesLoop(ctx context.Context) {
	ticker := time.NewTicker(anchorAfter) // what depends on time alone
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.nodesNews:
		case <-ticker.C:
		}
		f.takeNodes()
		_ = clock.Sleep(ctx, nodesPause) // the loop looks at ctx
	}
}

// nodesChanged arranges that the nodes are looked at soon.
func (f *Front) nodesChanged() {
	select {
	case f.nodesNews <- struct{}{}:
	default:
	}
}

// takeNodes decides who serves callers, and what of that is this node's part. One that
// is cut off from all others stays with what it knew: they may well be there.
func (f *Front) takeNodes() {
	f.agent.SetUnable(f.unable.Load())
	nodes := f.withRemembered(f.agent.Nodes())
	isolated := f.agent.Isolated()
	f.lookAtAnchors(nodes)
	if isolated {
		nodes = f.despiteSilence(nodes)
	}
	serving := directory.ServingNodes(nodes, int(f.connections.Load()), f.options.Disabled)
	f.serving.Store(&serving)
	f.lookAtOthers(serving)
	f.liveCount.Store(int64(len(nodes)))
	if isolated || !f.agent.Joined() && time.Since(f.began) < joinTime {
		return
	}
	role := routing.NodesChanged{
		Live:      len(nodes),
		Serving:   max(len(serving), 1),
		IsServing: slices.ContainsFunc(serving, f.isSelf) || len(serving) == len(nodes),
	}
	role.Index = f.placeAmong(nodes, serving, role.IsServing)
	if role == f.role {
		return
	}
	f.logRole(role)
	f.role = role
	f.gateway.SetNodes(role)
}

// lookAtOthers tells the gateway whether another node serves, as far as this one knows.
func (f *Front) lookAtOthers(serving []discovery.Node) {
	serve := slices.ContainsFunc(serving, func(n discovery.Node) bool { return !f.isSelf(n) && !n.Leaving && !n.Unable })
	if serve != f.othersAble {
		f.othersAble = serve
		f.gateway.SetPeersAvailable(serve)
	}
}

// withRemembered adds the nodes of other zones while none of them is seen any more and
// this zone's nodes can't reach enough servers: then the way there is cut, and they may
// well serve callers, who may reach them.
func (f *Front) withRemembered(nodes []discovery.Node) []discovery.Node {
	unable := slices.ContainsFunc(nodes, func(n discovery.Node) bool { return n.Zone == f.self.Zone && n.Unable })
	seen := slices.ContainsFunc(nodes, func(n discovery.Node) bool { return n.Zone != f.self.Zone && !n.Suspect })
	if !unable || seen {
		f.remembered = nodes
		return nodes
	}
	there := make(map[string]struct{}, len(nodes))
	for _, n := range nodes {
		there[n.ID] = struct{}{}
	}
	all := slices.Clone(nodes)
	for _, n := range f.remembered {
		if _, listed := there[n.ID]; !listed && n.Zone != f.self.Zone {
			n.Suspect = true
			all = append(all, n)
		}
	}
	slices.SortFunc(all, func(a, b discovery.Node) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// placeAmong is this node's place among the nodes of its role, by ID.
func (f *Front) placeAmong(nodes, serving []discovery.Node, serves bool) int {
	place := 0
	for _, n := range nodes {
		isServing := len(serving) == len(nodes) || slices.ContainsFunc(serving, func(s discovery.Node) bool { return s.ID == n.ID })
		if isServing == serves && n.ID < f.self.ID {
			place++
		}
	}
	return place
}

func (f *Front) isSelf(n discovery.Node) bool { return n.ID == f.self.ID }

// despiteSilence lists the nodes that may serve callers while none answers this one. Where
// the registry is silent, too, this node is cut off, and the others may well be there; one
// that hears the registry is not, and callers who ask it are safe with itself alone: named
// the others, they tried nodes that were gone for good.
func (f *Front) despiteSilence(nodes []discovery.Node) []discovery.Node {
	if f.hearsRegistry() {
		return slices.DeleteFunc(slices.Clone(nodes), func(n discovery.Node) bool { return n.Suspect })
	}
	cleared := slices.Clone(nodes)
	for i := range cleared {
		cleared[i].Suspect = false
	}
	return cleared
}

// hearsRegistry reports whether what the node believes of the registry is fresh.
func (f *Front) hearsRegistry() bool {
	age := f.beliefAge()
	return age >= 0 && age <= leastBound(f.options.Settings)
}

// logRole writes a line when the node's own part among the nodes has changed.
func (f *Front) logRole(role routing.NodesChanged) {
	if f.role.IsServing != role.IsServing || f.role.Live == 0 {
		f.options.Logger.Info().Bool("serves", role.IsServing).Int("serving", role.Serving).Int("live", role.Live).Msg("role changed")
	}
}

// lookAtAnchors decides whether this node keeps an entry in the registry.
func (f *Front) lookAtAnchors(nodes []discovery.Node) {
	wait := anchorAfter
	if len(nodes) <= 1 {
		wait += f.loneAnchorWait
	}
	if !slices.ContainsFunc(discovery.BootstrapNodes(nodes), f.isSelf) {
		f.anchorSince = time.Time{}
		f.announcer.SetEnabled(false)
		return
	}
	if f.anchorSince.IsZero() {
		f.anchorSince = time.Now()
	}
	if time.Since(f.anchorSince) >= wait {
		f.announcer.SetEnabled(true)
	}
}

// loneWait draws a node's part of loneAnchorSpread.
func loneWait(seed uint64) time.Duration {
	return time.Duration(rand.New(rand.NewPCG(seed, 0)).Int64N(int64(loneAnchorSpread)))
}

// servingCount is the number of nodes to which callers are sent.
func (f *Front) servingCount() int {
	if serving := f.serving.Load(); serving != nil {
		return len(*serving)
	}
	return 0
}
