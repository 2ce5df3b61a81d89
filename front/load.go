package front

import "time"

const (
	// attemptsPerCore is the number of attempts per second that saturate one core. On simulated
	// machines an attempt that reaches a server costs 80 to 125 µs of processor time, including all
	// other work of the node.
	attemptsPerCore = 10_000
	// busyThreshold is the share of the node's capacity at which it becomes busy; above it, bursts
	// of requests wait for the processor. calmThreshold is the share below which the load is calm.
	busyThreshold = 0.5
	calmThreshold = 0.25
	// minBusyTime is how long the load must stay calm before a node is no longer busy, as each
	// change costs a registry write and moves callers.
	minBusyTime = 20 * time.Second
	// minRateWindow is the shortest interval over which the rate of attempts is computed.
	minRateWindow = 500 * time.Millisecond
)

// loadMeter decides from a node's rate of attempts whether other nodes should take over part of its
// callers.
type loadMeter struct {
	// capacity is in cores. Zero means unknown, and the node is never busy.
	capacity float64

	busy         bool
	lastLoadedAt time.Time // last time that the load reached calmThreshold
	sampledAt    time.Time
	attempts     uint64
}

// update records the total number of attempts sent so far and reports whether the node is busy.
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
