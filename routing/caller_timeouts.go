package routing

import "time"

const (
	// timeoutResolution is the resolution in which the times are told apart that callers
	// wait: opening a connection takes some of it, too.
	timeoutResolution = 50 * time.Millisecond
	// maxTimeoutEntries is the number of times that are kept apart.
	maxTimeoutEntries = 8
	// minTimeoutShare is the part of the callers that must tell a time before it is
	// taken for what callers begin with. It must be over 1/(maxTimeoutEntries+1).
	minTimeoutShare = 0.15
	// minTimeoutCount is the least weight of callers that must tell it.
	minTimeoutCount = 3
	// timeoutDecayInterval is the number of requests after which weights are halved.
	timeoutDecayInterval = 200
	// retryTimeoutShare is the part of the time that callers begin with by which that of
	// a caller which tried before is shorter at least.
	retryTimeoutShare = 0.02
)

// callerTimeouts learns how long the callers of a route wait when they first ask. It keeps
// the frequent times by the algorithm of Misra and Gries ("Finding repeated elements",
// 1982), so that few callers that tell nonsense don't sway it.
type callerTimeouts struct {
	entries [maxTimeoutEntries]struct {
		step  int64
		count float64
	}
	total float64
}

// observe notes the time that a caller says it waits.
func (p *callerTimeouts) observe(timeout time.Duration) {
	step := int64((timeout + timeoutResolution - 1) / timeoutResolution)
	p.total++
	p.count(step)
	if p.total < timeoutDecayInterval {
		return
	}
	p.total /= 2
	for i := range p.entries {
		p.entries[i].count /= 2
	}
}

func (p *callerTimeouts) count(step int64) {
	free := -1
	for i := range p.entries {
		switch {
		case p.entries[i].count > 0 && p.entries[i].step == step:
			p.entries[i].count++
			return
		case p.entries[i].count <= 0:
			free = i
		}
	}
	if free >= 0 {
		p.entries[free].step, p.entries[free].count = step, 1
		return
	}
	for i := range p.entries {
		p.entries[i].count--
	}
}

// initialTimeout is the longest time that a good part of the callers tell; zero when unknown.
func (p *callerTimeouts) initialTimeout() time.Duration {
	longest := int64(0)
	for _, entry := range p.entries {
		if entry.count >= max(minTimeoutShare*p.total, minTimeoutCount) {
			longest = max(longest, entry.step)
		}
	}
	return time.Duration(longest) * timeoutResolution
}

// isRetry reports whether a caller that says it waits for the given time has
// probably tried before.
func (p *callerTimeouts) isRetry(timeout time.Duration) bool {
	first := p.initialTimeout()
	return timeout > 0 && timeout < first-max(time.Duration(retryTimeoutShare*float64(first)), timeoutResolution)
}
