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
	// cutOff are nodes whose askings get no answer.
	cutOff map[*discovery.Follower]bool
}

// cut keeps a node's askings from the others, or lets them through again.
func (n *network) cut(id string, off bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cutOff == nil {
		n.cutOff = make(map[*discovery.Follower]bool)
	}
	n.cutOff[n.followers[id]] = off
}

// asker is a node's own way to the network.
type asker struct {
	*network
	id string
}

func (a asker) Fetch(ctx context.Context, address string, inquiry discovery.PublicationRequest) (discovery.Publication, error) {
	a.mutex.Lock()
	off := a.cutOff[a.followers[a.id]]
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
