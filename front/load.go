package front

import "time"

const (
	// sendsPerCore is the number of attempts a second that take a whole core: processor
	// time over arrivals at servers is 80 to 125 µs on simulated machines, with all else
	// that a node does.
	sendsPerCore = 10_000
	// busyShare is the part of the capacity from which on a node is busy: what comes
	// in bursts then waits for the processor. calmShare is where that ends.
	busyShare = 0.5
	calmShare = 0.25
	// calmTime is how long a node stays busy at least, as each change is a write to
	// the registry and moves callers.
	calmTime = 20 * time.Second
	// leastSpan is the shortest time over which a rate is taken.
	leastSpan = 500 * time.Millisecond
)

// loadMeter tells from a node's rate of attempts whether others should help.
type loadMeter struct {
	// capacity is in cores; zero is unknown, and the node is never busy.
	capacity float64

	busy     bool
	loadedAt time.Time // last time that the load was not calm
	takenAt  time.Time
	sends    uint64
}

// take notes the number of attempts sent so far.
func (m *loadMeter) take(now time.Time, sends uint64) (busy bool) {
	span := now.Sub(m.takenAt)
	if m.takenAt.IsZero() {
		m.takenAt, m.sends = now, sends
		return false
	}
	if span < leastSpan || m.capacity <= 0 {
		return m.busy
	}
	load := float64(sends-m.sends) / span.Seconds() / sendsPerCore / m.capacity
	m.takenAt, m.sends = now, sends
	if load >= busyShare {
		m.busy = true
	}
	if load >= calmShare {
		m.loadedAt = now
	}
	if now.Sub(m.loadedAt) >= calmTime {
		m.busy = false
	}
	return m.busy
}
