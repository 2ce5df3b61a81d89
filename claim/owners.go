package claim

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// OwnersPerRequest is the number of owners of a request, or all other nodes if
// there are fewer.
const OwnersPerRequest = 3

// Owners chooses the owners of a key among the other nodes by rendezvous
// hashing, so that a node that joins or leaves changes at most one owner of
// each key.
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

// hashWeight returns the rendezvous weight of a node for a key. The zero byte
// separates the two, so that different pairs cannot hash the same bytes.
func hashWeight(key, node string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(node)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
