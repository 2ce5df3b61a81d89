package discovery

import "slices"

// historyLength is the number of generations for which changes are kept.
const historyLength = 64

// history keeps the recent changes of the published state.
type history struct {
	// latest is the current generation; zero before the first one.
	latest  uint64
	changes []generationChanges // of the most recent generations, oldest first
}

// generationChanges lists the entries that changed in one generation. Their values are taken from
// the current state when they are published.
type generationChanges struct {
	servers, nodes         []string
	goneServers, goneNodes []string
	directives             []string
	goneDirectives         []string
	table                  bool
}

// add records the next generation.
func (h *history) add(before, after ClusterState) {
	h.latest++
	changed := generationChanges{table: before.Table != after.Table}
	changed.servers, changed.goneServers = difference(before.Servers, after.Servers, Server.key, sameForPeers)
	changed.nodes, changed.goneNodes = difference(before.Nodes, after.Nodes, Node.key, func(a, b Node) bool { return a == b })
	changed.directives, changed.goneDirectives = difference(before.Directives, after.Directives, Directive.Key, sameDirective)
	h.changes = append(h.changes, changed)
	if len(h.changes) > historyLength {
		h.changes = slices.Delete(h.changes, 0, 1)
	}
}

func (s Server) key() string { return s.ID }

func (n Node) key() string { return n.ID }

// sameForPeers reports whether a change of a server need not be published. A warm-up counts down by
// itself, but one that restarts or ends early must be published.
func sameForPeers(before, after Server) bool {
	if after.ColdFor > before.ColdFor || after.ColdFor == 0 && before.ColdFor > 0 {
		return false
	}
	before.ColdFor, after.ColdFor = 0, 0
	return before == after
}

// difference returns the IDs of entries that are new or changed, and of those that were removed.
func difference[T any](before, after []T, key func(T) string, same func(a, b T) bool) (changed, gone []string) {
	old := make(map[string]T, len(before))
	for _, one := range before {
		old[key(one)] = one
	}
	for _, one := range after {
		known, existed := old[key(one)]
		if !existed || !same(known, one) {
			changed = append(changed, key(one))
		}
		delete(old, key(one))
	}
	for id := range old {
		gone = append(gone, id)
	}
	slices.Sort(gone)
	return changed, gone
}

// covers reports whether all changes after the generation are available.
func (h *history) covers(generation uint64) bool {
	return generation > 0 && generation <= h.latest && h.latest-generation <= uint64(len(h.changes))
}

// after merges the changes after the generation, which the history must cover.
func (h *history) after(generation uint64) generationChanges {
	var all generationChanges
	for _, one := range h.changes[uint64(len(h.changes))-(h.latest-generation):] {
		all.servers = append(all.servers, one.servers...)
		all.nodes = append(all.nodes, one.nodes...)
		all.goneServers = append(all.goneServers, one.goneServers...)
		all.goneNodes = append(all.goneNodes, one.goneNodes...)
		all.directives = append(all.directives, one.directives...)
		all.goneDirectives = append(all.goneDirectives, one.goneDirectives...)
		all.table = all.table || one.table
	}
	return all
}
