// Package resource divides a limited resource, such as memory or descriptors, among holders. When it
// is exhausted, holders that make no progress lose their share to others.
package resource

import (
	"cmp"
	"container/list"
	"errors"
	"sync"
	"time"
)

// Errors of Resize and Pin.
var (
	// ErrExhausted: other holders use what the holder needs.
	ErrExhausted = errors.New("resource: exhausted")
	// ErrEvicted: the holder has lost its share to others.
	ErrEvicted = errors.New("resource: evicted")
)

// Options configures a Pool.
type Options struct {
	// Limit is the amount that all holders together may hold.
	Limit int64
	// MinStall is how long a holder must have made no progress before it can be evicted; default
	// DefaultMinStall.
	MinStall time.Duration
	// Now returns the current time; default time.Now.
	Now func() time.Time
}

// DefaultMinStall exceeds a retransmission of a lost packet, so that a holder that is merely slowed
// down by its network is not evicted.
const DefaultMinStall = 500 * time.Millisecond

// Pool is a limited resource. It is safe for concurrent use.
type Pool struct {
	options Options

	mutex sync.Mutex
	// mutex guards the fields below and those of all holders.
	used, peak, evictions int64
	// evictable holds the holders that can be evicted, those without progress for longest first.
	evictable list.List
}

// Holder is a user of a pool. It is safe for concurrent use.
type Holder struct {
	pool    *Pool
	evict   func()
	amount  int64
	evicted bool
	// element is the holder's place among the evictable ones; nil while it is pinned.
	element      *list.Element
	progressedAt time.Time
}

// NewPool returns a pool of which nothing is used.
func NewPool(options Options) *Pool {
	options.MinStall = cmp.Or(options.MinStall, DefaultMinStall)
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Pool{options: options}
}

// Limit returns the amount that all holders together may hold.
func (p *Pool) Limit() int64 { return p.options.Limit }

// Used returns the amount that all holders hold.
func (p *Pool) Used() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.used
}

// TakePeak returns the greatest amount that all holders have held since the last call.
func (p *Pool) TakePeak() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peak := p.peak
	p.peak = p.used
	return peak
}

// Evictions returns how many holders have been evicted.
func (p *Pool) Evictions() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.evictions
}

// Join returns a holder that holds nothing and can be evicted. evict is called when it is; it must
// neither block nor call the pool, and it must make the holder's user call Leave.
func (p *Pool) Join(evict func()) *Holder {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := &Holder{pool: p, evict: evict, progressedAt: p.options.Now()}
	h.element = p.evictable.PushBack(h)
	return h
}

// Resize changes the amount that the holder holds. If that exceeds the limit, holders that have
// made no progress for MinStall are evicted, as many as are needed. Its error is ErrExhausted or
// ErrEvicted; the amount is unchanged then.
func (h *Holder) Resize(amount int64) error {
	evicted, err := h.resize(amount)
	for _, other := range evicted {
		other.evict()
	}
	return err
}

func (h *Holder) resize(amount int64) (evicted []*Holder, err error) {
	p := h.pool
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if h.evicted {
		return nil, ErrEvicted
	}
	if excess := p.used + amount - h.amount - p.options.Limit; amount > h.amount && excess > 0 {
		if evicted = p.chooseLocked(excess, h); evicted == nil {
			return nil, ErrExhausted
		}
	}
	for _, other := range evicted {
		other.evicted = true
		p.evictions++
		other.setLocked(0)
		other.pinLocked()
	}
	h.setLocked(amount)
	return evicted, nil
}

// chooseLocked returns holders other than the given one that can be evicted and together hold at
// least the given amount, or nil if there are not enough. The caller holds the mutex.
func (p *Pool) chooseLocked(amount int64, except *Holder) (chosen []*Holder) {
	latest := p.options.Now().Add(-p.options.MinStall)
	for element := p.evictable.Front(); element != nil && amount > 0; element = element.Next() {
		other := element.Value.(*Holder)
		if other.progressedAt.After(latest) {
			break
		}
		if other != except && other.amount > 0 {
			chosen = append(chosen, other)
			amount -= other.amount
		}
	}
	if amount > 0 {
		return nil
	}
	return chosen
}

func (h *Holder) setLocked(amount int64) {
	h.pool.used += amount - h.amount
	h.pool.peak = max(h.pool.peak, h.pool.used)
	h.amount = amount
}

// Progress records that the holder has made progress.
func (h *Holder) Progress() {
	h.pool.mutex.Lock()
	defer h.pool.mutex.Unlock()
	h.progressedAt = h.pool.options.Now()
	if h.element != nil {
		h.pool.evictable.MoveToBack(h.element)
	}
}

// Pin makes sure that the holder is not evicted until Unpin. It returns ErrEvicted if it has been.
func (h *Holder) Pin() error {
	h.pool.mutex.Lock()
	defer h.pool.mutex.Unlock()
	if h.evicted {
		return ErrEvicted
	}
	h.pinLocked()
	return nil
}

func (h *Holder) pinLocked() {
	if h.element != nil {
		h.pool.evictable.Remove(h.element)
		h.element = nil
	}
}

// Unpin allows again that the holder is evicted.
func (h *Holder) Unpin() {
	h.pool.mutex.Lock()
	defer h.pool.mutex.Unlock()
	if h.element != nil || h.evicted {
		return
	}
	h.progressedAt = h.pool.options.Now()
	h.element = h.pool.evictable.PushBack(h)
}

// Leave returns what the holder holds. Further calls have no effect, and Resize then returns
// ErrEvicted.
func (h *Holder) Leave() {
	h.pool.mutex.Lock()
	defer h.pool.mutex.Unlock()
	h.pinLocked()
	h.setLocked(0)
	h.evicted = true
}
