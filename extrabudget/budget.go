package extrabudget

import "time"

// Options bounds the extra sends to a service by all nodes together, in any window. An
// extra send is one for a part of a request that was sent before.
type Options struct {
	// Ratio is the number of extra sends for each request.
	Ratio float64
	// Fixed is the number of extra sends beyond those, shared by the nodes.
	Fixed float64
	// Window is the span over which both are counted.
	Window time.Duration
}

// usableShare is the part of a bound that is used: nodes come and go, and those that count
// them see that late. With 1.3 the property tests over many nodes fail.
const usableShare = 0.85

// Budget counts one node's requests and extra sends to one service over a sliding window;
// the zero value has counted none. Invariant: the extra sends of any window stay within
// the ratio of the requests that the node counted up to then, and its fixed share, if the
// caller sends no more than Left says.
type Budget struct{ requests, extras Counter }

// AddRequest counts a request at now.
func (b *Budget) AddRequest(now, window time.Duration) { b.requests.Add(now, window, 1) }

// AddExtra counts an extra send at now.
func (b *Budget) AddExtra(now, window time.Duration) { b.extras.Add(now, window, 1) }

// RemoveRequest takes back a request that was counted no longer than BucketWidth ago.
func (b *Budget) RemoveRequest(now, window time.Duration) { b.requests.Add(now, window, -1) }

// RemoveExtra takes back an extra send that was counted no longer than BucketWidth ago.
func (b *Budget) RemoveExtra(now, window time.Duration) { b.extras.Add(now, window, -1) }

// Remaining is the number of extra sends that are still allowed to a node with the given share
// of the fixed number, and the most that ever are at this rate of requests.
func (b *Budget) Remaining(now time.Duration, options Options, fixed float64) (left, most float64) {
	requests := b.requests.LowerBound(now, options.Window)
	most = usableShare * (options.Ratio*float64(requests) + fixed)
	return most - float64(b.extras.UpperBound(now, options.Window)), most
}
