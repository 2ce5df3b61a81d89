package discovery_test

import (
	"context"
	"sync"

	"github.com/banksail/banksail/discovery"
)

// network finds followers by their address.
type network struct {
	mutex     sync.Mutex
	followers map[string]*discovery.Follower
	silent    map[string]bool
	// isolated are nodes whose askings get no answer.
	isolated map[*discovery.Follower]bool
}

// setIsolated keeps a node's askings from the others, or lets them through again.
func (n *network) setIsolated(id string, off bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.isolated == nil {
		n.isolated = make(map[*discovery.Follower]bool)
	}
	n.isolated[n.followers[id]] = off
}

// nodeFetcher is a node's own way to the network.
type nodeFetcher struct {
	*network
	id string
}

func (a nodeFetcher) Fetch(ctx context.Context, address string, inquiry discovery.PublicationRequest) (discovery.Publication, error) {
	a.mutex.Lock()
	off := a.isolated[a.followers[a.id]]
	a.mutex.Unlock()
	if off {
		<-ctx.Done()
		return discovery.Publication{}, ctx.Err()
	}
	return a.network.Fetch(ctx, address, inquiry)
}

func (n *network) Fetch(ctx context.Context, address string, inquiry discovery.PublicationRequest) (discovery.Publication, error) {
	n.mutex.Lock()
	asked, silent := n.followers[address], n.silent[address]
	n.mutex.Unlock()
	if asked == nil || silent {
		<-ctx.Done()
		return discovery.Publication{}, ctx.Err()
	}
	publication, ok := asked.Publish(inquiry)
	if !ok {
		return discovery.Publication{}, discovery.ErrUnavailable
	}
	return publication, nil
}
