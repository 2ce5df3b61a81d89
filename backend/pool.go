package backend

import (
	"context"
	"fmt"
	"slices"
	"sync"
)

// connectionsPerSpare is the minimum connection limit per spare connection: at
// most a quarter of the limit is used for spares.
const connectionsPerSpare = 4

// pool holds the connections to one server within a connection limit, which can
// change at run time.
//
// The limit counts connections that carry a request, idle connections and
// spares. When it is lowered, idle connections and spares close at once.
// Connections that carry a request close when the request ends, and no new
// connection opens while the count is above the limit. The number of
// connections therefore never exceeds the highest limit under which any request
// in flight began.
type pool struct {
	client *Client
	spares *spares

	// mutex guards the fields below.
	//
	// Invariants: openCount counts the connections in use and in idle. idle
	// holds no connection in use; its last element was used last. A request
	// waits only while idle is empty and openCount is at least
	// requestConnectionLimit. A removed pool has no connections and accepts no
	// requests.
	mutex                  sync.Mutex
	connectionLimit        int
	requestConnectionLimit int
	openCount              int
	idle                   []*connection
	waiting                []*waiter
	// draining means that each connection closes when its request ends. A new
	// request ends the draining.
	draining bool
	removed  bool
}

// waiter is a request that waits for a connection.
type waiter struct {
	// assigned receives the connection. It is buffered, so the sender never
	// blocks.
	assigned chan *connection
}

// newPool returns a pool without connections.
func (c *Client) newPool(connectionLimit int) *pool {
	created := &pool{
		client: c,
		spares: &spares{dial: c.dial, idleTimeout: c.options.IdleTimeout},
	}
	created.setConnectionLimit(connectionLimit)
	return created
}

// acquire waits until a connection is available within the limit. The caller
// must release the connection. ok is false if the pool has been removed; the
// caller must then get a new pool. If ctx ends first, the error wraps
// ErrNotDelivered and the cause.
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

// takeIdleOrNew returns the most recently used idle connection or a new one, or
// nil if the limit is reached. The caller holds the mutex.
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

// cancelWait removes a request from the waiting list. If a connection was
// assigned to it in the meantime, the connection is released.
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

// release returns a connection to the pool, which assigns it to a waiting
// request, keeps it idle or closes it. A connection whose request failed
// (reusable is false) goes to the end of the reuse order, because it may still
// be dialing.
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

// assignToFirstWaiter gives the connection to the request that has waited
// longest. The caller holds the mutex.
func (p *pool) assignToFirstWaiter(conn *connection) {
	first := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	first.assigned <- conn
}

// resize applies a changed connection limit outside of a request. It has no
// effect on a draining pool.
func (p *pool) resize(connectionLimit int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.draining {
		p.setConnectionLimit(connectionLimit)
	}
}

// setConnectionLimit divides the limit between spares and connections for
// requests, closes idle connections above it and serves waiting requests. The
// caller holds the mutex.
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

// closeIdle closes up to count idle connections, least recently used first. The
// caller holds the mutex.
func (p *pool) closeIdle(count int) {
	count = min(max(0, count), len(p.idle))
	for _, conn := range p.idle[:count] {
		conn.close()
	}
	p.idle = slices.Delete(p.idle, 0, count)
	p.openCount -= count
}

// drain closes idle connections and spares. Requests that are waiting then run
// one after another on a single connection.
func (p *pool) drain() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.draining = true
	p.setConnectionLimit(1)
	p.closeIdle(len(p.idle))
}

// removeIfDrained marks a draining pool without connections as removed and
// reports whether it did.
func (p *pool) removeIfDrained() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.removed = p.draining && p.openCount == 0
	return p.removed
}

// isDrained reports whether removeIfDrained would remove the pool.
func (p *pool) isDrained() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.draining && p.openCount == 0 && !p.removed
}
