package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// reservedShare is the share of a server's connection limit that is not assigned to
	// nodes. It absorbs excess connections while nodes have different member tables.
	reservedShare = 0.1
	// OwnersPerServer is the number of nodes that connect to a server if there are more
	// nodes than connections.
	OwnersPerServer = 8
	// warmShare is the part of a node's share that is kept open while idle.
	warmShare = 0.25
)

// Share is a node's share of a server's connections.
type Share struct {
	// Maximum is the maximum number of connections that the node may open.
	Maximum int
	// Warm is the number of connections that the node keeps open while idle.
	Warm int
}

// ShareableConnections returns the number of connections of a server's limit that are
// assigned to nodes. The rest is reserved.
func ShareableConnections(limit int) int {
	reserved := max(1, int(float64(limit)*reservedShare))
	if limit <= 1 {
		return max(0, limit)
	}
	return limit - reserved
}

// ServerSpec identifies a server whose connections are divided among nodes.
type ServerSpec struct {
	ID   string
	Zone string
	// Limit is the maximum number of connections that the server accepts.
	Limit int
}

// OwnerShare returns a node's share of a server's connections. nodes are all nodes that
// are neither leaving nor gone.
//
// Nodes with the same view of the members never exceed the limit together. As long as
// there are no more nodes than the limit, each has a connection; when one leaves, no
// other share decreases, and together they gain what it held. Nodes with different
// views may exceed the assigned part: each holds at most ShareableConnections divided
// by the size of its own view, rounded up, so N nodes that each miss at most M others
// hold together at most N times that quotient at N-M, provided that N is at most
// ShareableConnections.
func OwnerShare(self string, server ServerSpec, nodes []Member) Share {
	return ShareOf(self, Owners(server, nodes))
}

// ShareOf returns a node's share among a server's owners.
func ShareOf(node string, owners []Owner) Share {
	for _, owner := range owners {
		if owner.ID == node {
			return owner.Share
		}
	}
	return Share{}
}

// Owner is a node that connects to a server.
type Owner struct {
	ID    string
	Share Share
}

// Owners returns the nodes that connect to a server with their shares, in rendezvous
// order. These are all nodes if there are enough connections, and otherwise a few,
// those in the server's zone first.
func Owners(server ServerSpec, nodes []Member) []Owner {
	if server.Limit < 1 || len(nodes) == 0 {
		return nil
	}
	shared := ShareableConnections(server.Limit)
	if len(nodes) <= server.Limit {
		// Use the reserve before leaving nodes without a connection.
		shared = max(shared, len(nodes))
	}
	var ranked []string
	if len(nodes) > shared {
		ranked = rankZoneFirst(server, nodes, min(OwnersPerServer, shared))
	} else {
		ranked = rank(server, nodes, len(nodes), anyZone)
	}
	owners := make([]Owner, 0, len(ranked))
	for position, id := range ranked {
		maximum := shared / len(ranked)
		if position < shared%len(ranked) {
			maximum++
		}
		warm := max(1, int(float64(maximum)*warmShare))
		owners = append(owners, Owner{ID: id, Share: Share{Maximum: maximum, Warm: warm}})
	}
	return owners
}

// ReadersPerServer is the number of nodes that read a server's health every interval.
const ReadersPerServer = 3

// Readers returns the nodes that read a server's health every interval: its first live
// owners, in order, so that every reading uses an assigned connection. owners must be
// the result of Owners, which does not change when a node becomes suspect; the next
// live owner then takes its place.
func Readers(owners []Owner, live func(node string) bool) []string {
	readers := make([]string, 0, ReadersPerServer)
	for _, owner := range owners {
		if len(readers) == ReadersPerServer {
			break
		}
		if live(owner.ID) {
			readers = append(readers, owner.ID)
		}
	}
	return readers
}

// rankZoneFirst returns the first count nodes in rendezvous order, those in the
// server's zone before all others. The others are ranked only if the zone has too few
// nodes.
func rankZoneFirst(server ServerSpec, nodes []Member, count int) []string {
	ranked := rank(server, nodes, count, func(zone string) bool { return zone == server.Zone })
	if len(ranked) < count {
		others := func(zone string) bool { return zone != server.Zone }
		ranked = append(ranked, rank(server, nodes, count-len(ranked), others)...)
	}
	return ranked
}

func anyZone(string) bool { return true }

// weightedNode is a node with its rendezvous weight for a server.
type weightedNode struct {
	id     string
	weight uint64
}

// compareWeights orders by descending weight, and at equal weights by ID.
func compareWeights(x, y weightedNode) int {
	return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.id, y.id))
}

// rank returns the first count nodes in the wanted zones, by descending rendezvous
// weight for the server.
func rank(server ServerSpec, nodes []Member, count int, wanted func(zone string) bool) []string {
	first := make([]weightedNode, 0, count+1)
	for index := range nodes {
		node := &nodes[index]
		if !wanted(node.Zone) {
			continue
		}
		candidate := weightedNode{id: node.ID, weight: xxhash.Sum64String(server.ID + "\x00" + node.ID)}
		at, _ := slices.BinarySearchFunc(first, candidate, compareWeights)
		if at == count {
			continue
		}
		first = slices.Insert(first, at, candidate)
		first = first[:min(len(first), count)]
	}
	ids := make([]string, 0, len(first))
	for _, node := range first {
		ids = append(ids, node.id)
	}
	return ids
}
