package retry

import "time"

// HedgeInput is what a HedgePolicy decides on.
type HedgeInput struct {
	// Share is the part of the class's first sends that may be sent again.
	Share float64
	// Group holds recent latencies of the servers that could answer.
	Group *Sketch
	// Service holds recent latencies of the whole service.
	Service *Sketch
}

// latencySketch returns the group's samples, or the service's while the group has few.
func (s HedgeInput) latencySketch() (*Sketch, bool) {
	if s.Group != nil && s.Group.Count() >= minSamples {
		return s.Group, true
	}
	return s.Service, s.Service != nil && s.Service.Count() >= minSamples
}

// minSamples is the weight of samples below which a quantile says little.
const minSamples = 20

// HedgePolicy decides how long a request may be awaited before another server
// is asked beside the first. ok is false when no hedge is worth its price.
type HedgePolicy interface {
	Delay(situation HedgeInput) (delay time.Duration, ok bool)
}

// NoHedge never hedges.
type NoHedge struct{}

// Delay implements HedgePolicy.
func (NoHedge) Delay(HedgeInput) (time.Duration, bool) { return 0, false }

// FixedHedge hedges after a fixed time.
type FixedHedge struct{ After time.Duration }

// Delay implements HedgePolicy.
func (p FixedHedge) Delay(HedgeInput) (time.Duration, bool) { return p.After, true }

// QuantileHedge hedges at a quantile of recent latencies.
type QuantileHedge struct {
	// Quantile is a share of requests, such as 0.95.
	Quantile float64
	// MinDelay bounds the delay from below.
	MinDelay time.Duration
}

// Delay implements HedgePolicy.
func (p QuantileHedge) Delay(situation HedgeInput) (time.Duration, bool) {
	sketch, known := situation.latencySketch()
	if !known {
		return 0, false
	}
	return max(sketch.Quantile(p.Quantile), p.MinDelay), true
}

// ShareHedge hedges at the quantile that spends most of the class's share: a
// class that may send a tenth of its requests again hedges at the 92nd
// percentile. A class with no share never hedges.
type ShareHedge struct {
	// Factor is the part of the share that hedges are to spend; zero stands for
	// DefaultShareFactor. Near or above 1, the budget is at times gone when the
	// slowest requests need it.
	Factor float64
	// MinQuantile bounds the quantile from below; zero stands for 0.5.
	MinQuantile float64
	// MinDelay bounds the delay from below.
	MinDelay time.Duration
}

// DefaultShareFactor leaves a fifth of the share for bursts and retries.
const DefaultShareFactor = 0.8

// Delay implements HedgePolicy.
func (p ShareHedge) Delay(situation HedgeInput) (time.Duration, bool) {
	if situation.Share <= 0 {
		return 0, false
	}
	factor := p.Factor
	if factor <= 0 {
		factor = DefaultShareFactor
	}
	lowest := p.MinQuantile
	if lowest <= 0 {
		lowest = 0.5
	}
	quantile := max(1-situation.Share*factor, lowest)
	return QuantileHedge{Quantile: quantile, MinDelay: p.MinDelay}.Delay(situation)
}
