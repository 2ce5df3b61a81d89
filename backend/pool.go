package backend

import (
	"context"
	"fmt"
	"slices"
	"sync"
)

// connectionsPerSpare is the least number of connections per spare one.
const connectionsPerSpare = 4

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
	mutex                  sync.Mutex
	connectionLimit        int
	requestConnectionLimit int
	openCount              int
	idle                   []*connection
	waiting                []*waiter
	// draining says that connections close as their requests end, until a new
	// request begins.
	draining bool
	removed  bool
}

// waiter is a request that waits for a connection.
type waiter struct {
	// assigned receives the connection; it has room for it.
	assigned chan *connection
}

// newPool returns a pool with no connection.
func (c *Client) newPool(connectionLimit int) *pool {
	created := &pool{
		client: c,
		spares: &spares{dial: c.dial, idleTimeout: c.options.IdleTimeout},
	}
	created.setConnectionLimit(connectionLimit)
	return created
}

// acquire returns a connection as soon as the bound allows; it must be released.
// It is false when the pool was dropped.
func (p *pool) acquire(ctx context.Context, connectionLimit int) (conn *connection, ok bool, err error) {
	p.mutex.Lock()
	if p.removed {
		p.mutex.Unlock()
		return nil, false, nil
	}
	p.draining = false
	p.setConnectionLimit(connectionLimit)
	if conn = p.takeIdleOrNew(); conn != nil {
		p.mutex.Unlock()
		return conn, true, nil
	}
	request := &waiter{assigned: make(chan *connection, 1)}
	p.waiting = append(p.waiting, request)
	p.mutex.Unlock()
	select {
	case conn = <-request.assigned:
		return conn, true, nil
	case <-ctx.Done():
		p.cancelWait(request)
		return nil, true, fmt.Errorf("%w: waiting for a connection: %w", ErrNotDelivered, ctx.Err())
	}
}

// takeIdleOrNew returns the connection used last, or a new one; nil when there is no room.
func (p *pool) takeIdleOrNew() *connection {
	if newest := len(p.idle) - 1; newest >= 0 {
		conn := p.idle[newest]
		p.idle = p.idle[:newest]
		return conn
	}
	if p.openCount >= p.requestConnectionLimit {
		return nil
	}
	p.openCount++
	return p.client.newConnection(p.spares)
}

// cancelWait ends the wait of a request, which may have got its connection just now.
func (p *pool) cancelWait(request *waiter) {
	p.mutex.Lock()
	index := slices.Index(p.waiting, request)
	if index >= 0 {
		p.waiting = slices.Delete(p.waiting, index, index+1)
	}
	p.mutex.Unlock()
	if index < 0 {
		p.release(<-request.assigned, true)
	}
}

// release takes a connection back. After a failed request it is the last to be
// used again: it may still be opening.
func (p *pool) release(conn *connection, reusable bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.openCount > p.requestConnectionLimit || p.draining && len(p.waiting) == 0:
		p.openCount--
		conn.close()
	case len(p.waiting) > 0:
		p.assignToFirstWaiter(conn)
	case reusable:
		p.idle = append(p.idle, conn)
	default:
		p.idle = slices.Insert(p.idle, 0, conn)
	}
}

func (p *pool) assignToFirstWaiter(conn *connection) {
	first := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	first.assigned <- conn
}

// resize changes the bound without a request.
func (p *pool) resize(connectionLimit int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.draining {
		p.setConnectionLimit(connectionLimit)
	}
}

// setConnectionLimit shares the bound out between spares and other connections. The caller
// holds the mutex.
func (p *pool) setConnectionLimit(connectionLimit int) {
	if p.connectionLimit == connectionLimit {
		return
	}
	p.connectionLimit = connectionLimit
	spareCount := min(max(0, p.client.options.SpareConnectionsPerServer), connectionLimit/connectionsPerSpare)
	p.spares.resize(spareCount)
	p.requestConnectionLimit = connectionLimit - spareCount
	p.closeIdle(p.openCount - p.requestConnectionLimit)
	for len(p.waiting) > 0 && p.openCount < p.requestConnectionLimit {
		p.assignToFirstWaiter(p.takeIdleOrNew())
	}
}

// closeIdle closes up to count idle connections, the longest unused first.
func (p *pool) closeIdle(count int) {
	count = min(max(0, count), len(p.idle))
	for _, conn := range p.idle[:count] {
		conn.close()
	}
	p.idle = slices.Delete(p.idle, 0, count)
	p.openCount -= count
}

// drain closes idle connections and spares; requests that wait go on one after
// the other.
func (p *pool) drain() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.draining = true
	p.setConnectionLimit(1)
	p.closeIdle(len(p.idle))
}

// removeIfDrained drops a forgotten pool whose requests have ended.
func (p *pool) removeIfDrained() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.removed = p.draining && p.openCount == 0
	return p.removed
}

// isDrained reports whether removeIfDrained would drop the pool.
func (p *pool) isDrained() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.draining && p.openCount == 0 && !p.removed
}
