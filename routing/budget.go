package routing

import "time"

// BudgetOptions bounds the extra sends to a service by all nodes together, in
// any window. An extra send is one for a part of a request that was sent before.
type BudgetOptions struct {
	// Ratio is the number of extra sends for each request.
	Ratio float64
	// Fixed is the number of extra sends beyond those, shared by the nodes.
	Fixed float64
	// Window is the span over which both are counted.
	Window time.Duration
}

const (
	// budgetBuckets divide a window.
	budgetBuckets = 20
	// budgetMargin is the part of a budget that is used: nodes come and go, and
	// those that count them see that late.
	budgetMargin = 0.85
	// hedgeReserve is the part of the budget that is kept for retries: a retry
	// saves a request, a hedge only time.
	hedgeReserve = 0.15
)

// budget counts one node's requests and extra sends to one service over a
// sliding window. Invariant: the extra sends of any window stay within the
// ratio of the requests that the node counted up to then, and its fixed share.
type budget struct {
	requests [budgetBuckets + 1]int
	extras   [budgetBuckets + 1]int
	// latest is the number of the newest bucket since the epoch.
	latest int64
}

func (b *budget) advance(now time.Duration, window time.Duration) {
	bucket := int64(now / (window / budgetBuckets))
	for passed := 0; b.latest < bucket && passed <= budgetBuckets; passed++ {
		b.latest++
		b.requests[b.latest%(budgetBuckets+1)] = 0
		b.extras[b.latest%(budgetBuckets+1)] = 0
	}
	b.latest = bucket
}

func (b *budget) addRequest(now, window time.Duration) {
	b.advance(now, window)
	b.requests[b.latest%(budgetBuckets+1)]++
}

func (b *budget) addExtra(now, window time.Duration) {
	b.advance(now, window)
	b.extras[b.latest%(budgetBuckets+1)]++
}

func (b *budget) takeBackRequest(now, window time.Duration) {
	b.advance(now, window)
	b.requests[b.latest%(budgetBuckets+1)]--
}

func (b *budget) takeBackExtra(now, window time.Duration) {
	b.advance(now, window)
	b.extras[b.latest%(budgetBuckets+1)]--
}

// left is the number of extra sends that are still allowed, and the most that
// ever are at this rate of requests.
func (b *budget) left(now time.Duration, options BudgetOptions, fixed float64) (left, most float64) {
	b.advance(now, options.Window)
	requests, extras := 0, 0
	for i := range b.requests {
		extras += b.extras[i]
		requests += b.requests[i]
	}
	// The oldest bucket lies partly outside the window: its requests don't count.
	requests -= b.requests[(b.latest+1)%(budgetBuckets+1)]
	most = budgetMargin * (options.Ratio*float64(requests) + fixed)
	return most - float64(extras), most
}
