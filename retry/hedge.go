package retry

import "time"

// HedgeInput is the input of a HedgePolicy.
type HedgeInput struct {
	// Share is the share of the class's first sends that may be sent again.
	Share float64
	// Group holds recent latencies of the replicas that can answer the request.
	Group *Sketch
	// Service holds recent latencies of the entire service.
	Service *Sketch
}

// latencySketch returns the sketch of the group, or that of the service if the group
// has too few samples. It reports false if neither has enough.
func (s HedgeInput) latencySketch() (*Sketch, bool) {
	if s.Group != nil && s.Group.Count() >= minSamples {
		return s.Group, true
	}
	return s.Service, s.Service != nil && s.Service.Count() >= minSamples
}

// minSamples is the weight of samples below which a quantile is not meaningful.
const minSamples = 20

// HedgePolicy decides how long to wait for a reply before a hedge is sent to
// another replica. ok is false if no hedge should be sent.
type HedgePolicy interface {
	Delay(input HedgeInput) (delay time.Duration, ok bool)
}

// NoHedge never hedges.
type NoHedge struct{}

// Delay implements HedgePolicy.
func (NoHedge) Delay(HedgeInput) (time.Duration, bool) { return 0, false }

// FixedHedge hedges after a fixed delay.
type FixedHedge struct{ After time.Duration }

// Delay implements HedgePolicy.
func (p FixedHedge) Delay(HedgeInput) (time.Duration, bool) { return p.After, true }

// QuantileHedge hedges after a quantile of recent latencies.
type QuantileHedge struct {
	// Quantile is the quantile of latencies, such as 0.95.
	Quantile float64
	// MinDelay is the minimum delay.
	MinDelay time.Duration
}

// Delay implements HedgePolicy.
func (p QuantileHedge) Delay(input HedgeInput) (time.Duration, bool) {
	sketch, known := input.latencySketch()
	if !known {
		return 0, false
	}
	return max(sketch.Quantile(p.Quantile), p.MinDelay), true
}

// ShareHedge hedges after the quantile of recent latencies at which hedges use
// Factor of the class's share: by default, a class that may resend a tenth of its
// requests hedges at the 92nd percentile. A class without a share never hedges.
type ShareHedge struct {
	// Factor is the part of the share that hedges should use; zero means
	// DefaultShareFactor. Near or above 1, the budget is at times exhausted when
	// the slowest requests need it.
	Factor float64
	// MinQuantile is the minimum quantile; zero means 0.5.
	MinQuantile float64
	// MinDelay is the minimum delay.
	MinDelay time.Duration
}

// DefaultShareFactor leaves a fifth of the share to bursts and retries.
const DefaultShareFactor = 0.8

// Delay implements HedgePolicy.
func (p ShareHedge) Delay(input HedgeInput) (time.Duration, bool) {
	if input.Share <= 0 {
		return 0, false
	}
	factor := p.Factor
	if factor <= 0 {
		factor = DefaultShareFactor
	}
	minQuantile := p.MinQuantile
	if minQuantile <= 0 {
		minQuantile = 0.5
	}
	quantile := max(1-input.Share*factor, minQuantile)
	return QuantileHedge{Quantile: quantile, MinDelay: p.MinDelay}.Delay(input)
}
