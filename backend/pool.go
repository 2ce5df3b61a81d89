package backend

import (
	"context"
	"fmt"
	"slices"
	"sync"
)

// spareFraction is the least number of connections per spare one.
const spareFraction = 4

// pool holds the connections to one server within a bound, which may change.
//
// The bound counts connections that carry a request, idle ones and spares. When
// it falls, idle connections and spares close at once; those that carry a
// request close when it ends, and no request takes their place while there are
// too many. There are thus never more connections than the greatest of the
// bounds under which a request began that still runs.
type pool struct {
	client *Client
	spares *spares

	// mutex guards the fields below. Invariants: live counts the connections in
	// use and in idle; idle holds no connection in use, the last used at its
	// end; a request waits only while idle is empty and live is at least limit;
	// a dropped pool has no connection and takes no request.
	mutex   sync.Mutex
	bound   int
	limit   int
	live    int
	idle    []*connection
	waiting []*waiter
	// forgotten says that connections close as their requests end, until a new
	// request begins.
	forgotten bool
	dropped   bool
}

// waiter is a request that waits for a connection.
type waiter struct {
	// given receives the connection; it has room for it.
	given chan *connection
}

// newPool returns a pool with no connection.
func (c *Client) newPool(bound int) *pool {
	open := &pool{
		client: c,
		spares: &spares{dial: c.dial, idle: c.options.IdleTimeout},
	}
	open.setBound(bound)
	return open
}

// acquire returns a connection as soon as the bound allows; it must be released.
// It is false when the pool was dropped.
func (p *pool) acquire(ctx context.Context, bound int) (conn *connection, live bool, err error) {
	p.mutex.Lock()
	if p.dropped {
		p.mutex.Unlock()
		return nil, false, nil
	}
	p.forgotten = false
	p.setBound(bound)
	if conn = p.take(); conn != nil {
		p.mutex.Unlock()
		return conn, true, nil
	}
	request := &waiter{given: make(chan *connection, 1)}
	p.waiting = append(p.waiting, request)
	p.mutex.Unlock()
	select {
	case conn = <-request.given:
		return conn, true, nil
	case <-ctx.Done():
		p.giveUp(request)
		return nil, true, fmt.Errorf("%w: waiting for a connection: %w", ErrNotDelivered, ctx.Err())
	}
}

// take returns the connection used last, or a new one; nil when there is no room.
func (p *pool) take() *connection {
	if newest := len(p.idle) - 1; newest >= 0 {
		taken := p.idle[newest]
		p.idle = p.idle[:newest]
		return taken
	}
	if p.live >= p.limit {
		return nil
	}
	p.live++
	return p.client.newConnection(p.spares)
}

// giveUp ends the wait of a request, which may have got its connection just now.
func (p *pool) giveUp(request *waiter) {
	p.mutex.Lock()
	index := slices.Index(p.waiting, request)
	if index >= 0 {
		p.waiting = slices.Delete(p.waiting, index, index+1)
	}
	p.mutex.Unlock()
	if index < 0 {
		p.release(<-request.given, true)
	}
}

// release takes a connection back. After a failed request it is the last to be
// used again: it may still be opening.
func (p *pool) release(conn *connection, sound bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.live > p.limit || p.forgotten && len(p.waiting) == 0:
		p.live--
		conn.close()
	case len(p.waiting) > 0:
		p.serveFirst(conn)
	case sound:
		p.idle = append(p.idle, conn)
	default:
		p.idle = slices.Insert(p.idle, 0, conn)
	}
}

func (p *pool) serveFirst(conn *connection) {
	first := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	first.given <- conn
}

// resize changes the bound without a request.
func (p *pool) resize(bound int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.forgotten {
		p.setBound(bound)
	}
}

// setBound shares the bound out between spares and other connections. The caller
// holds the mutex.
func (p *pool) setBound(bound int) {
	if p.bound == bound {
		return
	}
	p.bound = bound
	extra := min(max(0, p.client.options.SpareConnectionsPerServer), bound/spareFraction)
	p.spares.resize(extra)
	p.limit = bound - extra
	p.closeIdle(p.live - p.limit)
	for len(p.waiting) > 0 && p.live < p.limit {
		p.serveFirst(p.take())
	}
}

// closeIdle closes up to count idle connections, the longest unused first.
func (p *pool) closeIdle(count int) {
	count = min(max(0, count), len(p.idle))
	for _, conn := range p.idle[:count] {
		conn.close()
	}
	p.idle = slices.Delete(p.idle, 0, count)
	p.live -= count
}

// forget closes idle connections and spares; requests that wait go on one after
// the other.
func (p *pool) forget() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.forgotten = true
	p.setBound(1)
	p.closeIdle(len(p.idle))
}

// dropIfOver drops a forgotten pool whose requests have ended.
func (p *pool) dropIfOver() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.dropped = p.forgotten && p.live == 0
	return p.dropped
}

// isOver reports whether dropIfOver would drop the pool.
func (p *pool) isOver() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.forgotten && p.live == 0 && !p.dropped
}
