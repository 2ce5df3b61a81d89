package front

import "time"

const (
	// attemptsPerCore is the number of attempts a second that take a whole core: processor
	// time over arrivals at servers is 80 to 125 µs on simulated machines, with all else
	// that a node does.
	attemptsPerCore = 10_000
	// busyThreshold is the part of the capacity from which on a node is busy: what comes
	// in bursts then waits for the processor. calmThreshold is where that ends.
	busyThreshold = 0.5
	calmThreshold = 0.25
	// minBusyTime is how long a node stays busy at least, as each change is a write to
	// the registry and moves callers.
	minBusyTime = 20 * time.Second
	// minRateWindow is the shortest time over which a rate is taken.
	minRateWindow = 500 * time.Millisecond
)

// loadMeter tells from a node's rate of attempts whether others should help.
type loadMeter struct {
	// capacity is in cores; zero is unknown, and the node is never busy.
	capacity float64

	busy         bool
	lastLoadedAt time.Time // last time that the load was not calm
	sampledAt    time.Time
	attempts     uint64
}

// update notes the number of attempts sent so far.
func (m *loadMeter) update(now time.Time, attempts uint64) (busy bool) {
	elapsed := now.Sub(m.sampledAt)
	if m.sampledAt.IsZero() {
		m.sampledAt, m.attempts = now, attempts
		return false
	}
	if elapsed < minRateWindow || m.capacity <= 0 {
		return m.busy
	}
	load := float64(attempts-m.attempts) / elapsed.Seconds() / attemptsPerCore / m.capacity
	m.sampledAt, m.attempts = now, attempts
	if load >= busyThreshold {
		m.busy = true
	}
	if load >= calmThreshold {
		m.lastLoadedAt = now
	}
	if now.Sub(m.lastLoadedAt) >= minBusyTime {
		m.busy = false
	}
	return m.busy
}
