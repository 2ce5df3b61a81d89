package extrabudget

import "time"

// Options limits the extra sends of all nodes together to one service in any window. An
// extra send is a further send of a part of a request that was already sent once.
type Options struct {
	// Ratio is the number of extra sends allowed per request.
	Ratio float64
	// Fixed is the number of extra sends allowed in addition, shared by all nodes.
	Fixed float64
	// Window is the length of the window over which requests and extra sends are counted.
	Window time.Duration
}

// usableShare is the part of a limit that is used. The rest is a safety margin because nodes
// learn late that others joined or left. With 1.3 the property tests over many nodes fail.
const usableShare = 0.85

// Budget counts one node's requests and extra sends to one service over a sliding window.
// The zero value is an empty Budget. Invariant: the extra sends in any window stay within
// the ratio of the requests that the node has counted by then plus the node's share of the
// fixed number, provided that the caller respects Remaining.
type Budget struct{ requests, extras Counter }

// AddRequest counts a request sent at now.
func (b *Budget) AddRequest(now, window time.Duration) { b.requests.Add(now, window, 1) }

// AddExtra counts an extra send made at now.
func (b *Budget) AddExtra(now, window time.Duration) { b.extras.Add(now, window, 1) }

// RemoveRequest undoes AddRequest for a request counted at most BucketWidth ago.
func (b *Budget) RemoveRequest(now, window time.Duration) { b.requests.Add(now, window, -1) }

// RemoveExtra undoes AddExtra for an extra send counted at most BucketWidth ago.
func (b *Budget) RemoveExtra(now, window time.Duration) { b.extras.Add(now, window, -1) }

// Remaining returns the number of extra sends that a node may still make now, and its limit
// per window at the current request rate. The fixed argument is the node's share of
// Options.Fixed.
func (b *Budget) Remaining(now time.Duration, options Options, fixed float64) (remaining, limit float64) {
	requests := b.requests.LowerBound(now, options.Window)
	limit = usableShare * (options.Ratio*float64(requests) + fixed)
	return limit - float64(b.extras.UpperBound(now, options.Window)), limit
}
