package backend

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/banksail/banksail/internal/delivery"
	"github.com/banksail/banksail/internal/httpcall"
)

// spareFraction is the least number of connections per spare one.
const spareFraction = 4

// pool holds the connections to one server under one bound.
type pool struct {
	transport *http.Transport
	spares    *spares
	bound     int

	// mutex guards the fields below. Invariant: a retired pool takes no new
	// request, and its connections close as its requests end.
	mutex    sync.Mutex
	inFlight int
	retired  bool
}

// acquire returns the server's pool, replacing it when its bound changed. The
// caller must release it.
func (c *Client) acquire(address string) *pool {
	bound := max(1, c.options.ConnectionsPerServer(address))
	c.mutex.RLock()
	open := c.pools[address]
	c.mutex.RUnlock()
	if open == nil || open.bound != bound {
		open = c.replace(address, bound)
	}
	open.mutex.Lock()
	defer open.mutex.Unlock()
	open.inFlight++
	return open
}

// replace makes a pool of the given bound the server's one.
func (c *Client) replace(address string, bound int) *pool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	open := c.pools[address]
	if open != nil && open.bound == bound {
		return open
	}
	if open != nil {
		open.retire()
	}
	open = c.newPool(bound)
	c.pools[address] = open
	return open
}

// newPool shares the bound out between spares and connections in use.
func (c *Client) newPool(bound int) *pool {
	extra := &spares{
		dial: c.dial,
		size: min(max(0, c.options.SparesPerServer), bound/spareFraction),
		idle: c.options.IdleTimeout,
	}
	transport := httpcall.NewTransport(delivery.WrapDial(extra.DialContext), bound-extra.size)
	transport.IdleConnTimeout = c.options.IdleTimeout
	return &pool{
		bound:     bound,
		spares:    extra,
		transport: transport,
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	return c.options.Dial(ctx, network, address)
}

func (p *pool) release() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.inFlight--
	if p.retired {
		p.transport.CloseIdleConnections()
	}
}

func (p *pool) retire() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.retired = true
	p.spares.close()
	p.transport.CloseIdleConnections()
}
