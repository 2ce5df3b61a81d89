package inbound

import (
	"time"

	"github.com/banksail/banksail/internal/resource"
)

// freeBytes is the memory of a connection's requests that counts towards no limit, so that ordinary
// requests are received whatever others occupy.
const freeBytes = 8 << 10

// requestMemory is the memory of the requests on one connection.
type requestMemory struct {
	holder       *resource.Holder // nil while the memory does not exceed freeBytes
	header, body int64
}

// excess returns the memory that counts towards the limit.
func (m *requestMemory) excess() int64 { return max(m.header+m.body-freeBytes, 0) }

// ReserveBody reserves memory for the body of the current request, whose buffer grows to the given
// capacity. Its errors are those of resource.Holder.Resize.
func (c *Conn) ReserveBody(capacity int64) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.memory.body = capacity
	return c.reserveLocked()
}

// RequestReceived records that the current request has been received: it keeps its connection and
// its memory until it has been answered. It returns resource.ErrEvicted if it has lost one of them
// already.
func (c *Conn) RequestReceived() error {
	if c.slot != nil {
		if err := c.slot.Pin(); err != nil {
			return err
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.memory.holder == nil {
		return nil
	}
	return c.memory.holder.Pin()
}

// IsEvicted reports whether the requests have lost their memory to others.
func (c *Conn) IsEvicted() bool { return c.evicted.Load() }

// reserveLocked makes the reserved memory that of the requests. The caller holds the mutex.
func (c *Conn) reserveLocked() error {
	if c.options.Memory == nil || c.closed {
		return nil
	}
	if c.memory.holder == nil {
		if c.memory.excess() == 0 {
			return nil
		}
		c.memory.holder = c.options.Memory.Join(c.evict)
	}
	return c.memory.holder.Resize(c.memory.excess())
}

// reserveHeaderLocked reserves memory for the headers that have been received. The caller holds the
// mutex.
func (c *Conn) reserveHeaderLocked() error {
	c.memory.header = c.framing.headerMemory()
	return c.reserveLocked()
}

// finishRequestMemoryLocked returns the memory of the request that has been answered. Headers of
// later requests may have been received. The caller holds the mutex.
func (c *Conn) finishRequestMemoryLocked() {
	c.memory.body, c.memory.header = 0, c.framing.headerMemory()
	if c.memory.holder == nil {
		return
	}
	if c.memory.excess() == 0 {
		c.memory.release()
		return
	}
	c.memory.holder.Unpin()
	_ = c.memory.holder.Resize(c.memory.excess()) // it fails only after an eviction, which makes the next read fail
}

// evict makes pending and later reads fail, so that the request is rejected. It does not lock the
// mutex, which is held while other connections are evicted.
func (c *Conn) evict() {
	c.evicted.Store(true)
	_ = c.Conn.SetReadDeadline(past) // fails only on closed connections
}

// past is a deadline that has expired.
var past = time.Unix(1, 0)

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)
	if c.evicted.Load() {
		return c.Conn.SetReadDeadline(past)
	}
	return err
}

func (m *requestMemory) progress() {
	if m.holder != nil {
		m.holder.Progress()
	}
}

func (m *requestMemory) release() {
	if m.holder != nil {
		m.holder.Leave()
	}
	*m = requestMemory{}
}
