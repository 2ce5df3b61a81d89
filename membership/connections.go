package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// reservedShare is the part of a server's connection limit that is not
	// shared out: it takes up what nodes with differing member tables open.
	reservedShare = 0.1
	// OwnersPerServer is the number of nodes that connect to a server when
	// there are more nodes than connections.
	OwnersPerServer = 8
	// warmShare is the part of a node's share that stays open while idle.
	warmShare = 0.25
)

// Share is a node's part of a server's connections.
type Share struct {
	// Maximum is the greatest number of connections that the node may open.
	Maximum int
	// Warm is the number of connections that the node keeps open while idle.
	Warm int
}

// ShareableConnections is the number of connections that are shared out of a
// server's limit; the rest is reserved.
func ShareableConnections(limit int) int {
	reserved := max(1, int(float64(limit)*reservedShare))
	if limit <= 1 {
		return max(0, limit)
	}
	return limit - reserved
}

// ServerSpec names a server whose connections are shared out.
type ServerSpec struct {
	ID   string
	Zone string
	// Limit is the number of connections that the server accepts in all.
	Limit int
}

// OwnerShare returns the share that a node has of a server's connections,
// given the nodes that are neither leaving nor gone.
//
// Nodes that see the same members never hold more than the limit together.
// While the nodes do not outnumber the limit, each has a connection, and when
// one leaves, no other one's share falls, and what they gain is what it held.
// Nodes whose views differ may exceed the shared-out part: each holds at most
// ShareableConnections divided by the size of its own view, rounded up, so N
// nodes that each miss at most M others hold at most N times that quotient at
// N-M together, as long as N is at most ShareableConnections.
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

// Owners returns the nodes that hold connections to a server with their
// shares, in rendezvous order. All nodes do while the connections suffice;
// otherwise a few do, those in the server's zone first.
func Owners(server ServerSpec, nodes []Member) []Owner {
	if server.Limit < 1 || len(nodes) == 0 {
		return nil
	}
	shared := ShareableConnections(server.Limit)
	if len(nodes) <= server.Limit {
		// The reserve is given up before nodes go without a connection.
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

// ReadersPerServer is the number of nodes that read a server's health every
// interval.
const ReadersPerServer = 3

// Readers returns, in order, the nodes that read a server's health every interval: its
// first live owners, so that no reading needs a connection that is not shared
// out. The owners are those of Owners and don't change when a node is suspected;
// its place is then taken by the next one.
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

// rankZoneFirst returns the first count nodes in rendezvous order, those of the
// server's zone before all others. The others are ranked only when the zone
// has too few.
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

// compareWeights puts the greater weight first, and at equal weights the lesser ID.
func compareWeights(x, y weightedNode) int {
	return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.id, y.id))
}

// rank returns the first count nodes of the wanted zones by their rendezvous
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
