package claim

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// OwnersPerRequest is the number of owners of a request, where there are as many nodes.
const OwnersPerRequest = 3

// Owners picks the owners of a key among the other nodes by rendezvous hashing,
// so that a node that comes or goes changes at most one owner of a key.
func Owners(key string, otherNodes []string) []string {
	type ranked struct {
		node   string
		weight uint64
	}
	nodes := make([]ranked, 0, len(otherNodes))
	for _, node := range otherNodes {
		nodes = append(nodes, ranked{node: node, weight: hashWeight(key, node)})
	}
	slices.SortFunc(nodes, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
	})
	owners := make([]string, 0, OwnersPerRequest)
	for _, node := range nodes[:min(len(nodes), OwnersPerRequest)] {
		owners = append(owners, node.node)
	}
	return owners
}

func hashWeight(key, node string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(node)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
