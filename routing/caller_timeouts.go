package routing

import "time"

const (
	// timeoutResolution is the granularity of recorded timeouts. Opening a connection uses up some
	// of the timeout, so that equal settings arrive slightly different.
	timeoutResolution = 50 * time.Millisecond
	// maxTimeoutEntries is the number of distinct timeouts tracked.
	maxTimeoutEntries = 8
	// minTimeoutShare is the share of requests that must declare a timeout for it to count as an
	// initial one. It must exceed 1/(maxTimeoutEntries+1).
	minTimeoutShare = 0.15
	// minTimeoutCount is the minimum weight of requests that must declare it.
	minTimeoutCount = 3
	// timeoutDecayInterval is the number of requests after which weights are halved.
	timeoutDecayInterval = 200
	// retryTimeoutShare is the minimum share of the initial timeout by which that of a retry is
	// shorter.
	retryTimeoutShare = 0.02
)

// callerTimeouts estimates the timeout with which a route's callers send their first attempt. It
// tracks frequent values with the Misra-Gries algorithm ("Finding repeated elements", 1982), so
// that a few callers with arbitrary timeouts do not distort the estimate.
type callerTimeouts struct {
	entries [maxTimeoutEntries]struct {
		step  int64
		count float64
	}
	total float64
}

// observe records a declared timeout.
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

// initialTimeout returns the longest timeout that a sufficient share of the callers declare; zero
// if unknown.
func (p *callerTimeouts) initialTimeout() time.Duration {
	longest := int64(0)
	for _, entry := range p.entries {
		if entry.count >= max(minTimeoutShare*p.total, minTimeoutCount) {
			longest = max(longest, entry.step)
		}
	}
	return time.Duration(longest) * timeoutResolution
}

// isRetry reports whether a request with the given declared timeout is probably a retry. It is if
// the timeout is noticeably shorter than the initial one.
func (p *callerTimeouts) isRetry(timeout time.Duration) bool {
	first := p.initialTimeout()
	return timeout > 0 && timeout < first-max(time.Duration(retryTimeoutShare*float64(first)), timeoutResolution)
}
