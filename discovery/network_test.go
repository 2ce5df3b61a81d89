package discovery_test

import (
	"context"
	"sync"

	"github.com/banksail/banksail/discovery"
)

// network finds followers by address.
type network struct {
	mutex     sync.Mutex
	followers map[string]*discovery.Follower
	silent    map[string]bool
	// isolated holds nodes whose requests get no answer.
	isolated map[*discovery.Follower]bool
}

// setIsolated blocks a node's requests to other nodes, or unblocks them.
func (n *network) setIsolated(id string, isolated bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.isolated == nil {
		n.isolated = make(map[*discovery.Follower]bool)
	}
	n.isolated[n.followers[id]] = isolated
}

// nodeFetcher is a node's own connection to the network.
type nodeFetcher struct {
	*network
	id string
}

func (a nodeFetcher) Fetch(ctx context.Context, address string, request discovery.PublicationRequest) (discovery.Publication, error) {
	a.mutex.Lock()
	isolated := a.isolated[a.followers[a.id]]
	a.mutex.Unlock()
	if isolated {
		<-ctx.Done()
		return discovery.Publication{}, ctx.Err()
	}
	return a.network.Fetch(ctx, address, request)
}

func (n *network) Fetch(ctx context.Context, address string, request discovery.PublicationRequest) (discovery.Publication, error) {
	n.mutex.Lock()
	publisher, silent := n.followers[address], n.silent[address]
	n.mutex.Unlock()
	if publisher == nil || silent {
		<-ctx.Done()
		return discovery.Publication{}, ctx.Err()
	}
	publication, ok := publisher.Publish(request)
	if !ok {
		return discovery.Publication{}, discovery.ErrUnavailable
	}
	return publication, nil
}
