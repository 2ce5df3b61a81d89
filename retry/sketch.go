package retry

import (
	"math"
	"time"
)

// Bounds of a Sketch. Its relative error is half of sketchGrowth-1.
const (
	sketchBuckets  = 128
	sketchSmallest = 10 * time.Microsecond
	sketchGrowth   = 1.15
)

// DefaultSketchHalfLife is the number of recent samples that a Sketch weighs most.
const DefaultSketchHalfLife = 500

// Sketch estimates quantiles of recent latencies from 10 µs to about ten minutes, in
// constant space, within about 8 percent. Old samples fade by number, not by time.
// The zero Sketch is empty and ready for use.
type Sketch struct {
	counts [sketchBuckets]float32
	total  float32
	// HalfLife is the number of samples after which weights are halved; zero
	// stands for DefaultSketchHalfLife.
	HalfLife int
	cached   cachedQuantile
}

// cachedQuantile is the last answer, reused while few samples came since.
type cachedQuantile struct {
	quantile float64
	value    time.Duration
	samples  int
	valid    bool
}

// refreshEvery is the number of samples for which a cached quantile is reused.
const refreshEvery = 16

var logGrowth = math.Log(sketchGrowth)

// Add takes a sample.
func (s *Sketch) Add(latency time.Duration) {
	s.counts[bucketOf(latency)]++
	s.total++
	s.cached.samples++
	memory := s.HalfLife
	if memory <= 0 {
		memory = DefaultSketchHalfLife
	}
	if s.total >= float32(2*memory) {
		s.fade()
	}
}

func bucketOf(latency time.Duration) int {
	if latency <= sketchSmallest {
		return 0
	}
	i := int(math.Log(float64(latency)/float64(sketchSmallest)) / logGrowth)
	return min(i, sketchBuckets-1)
}

// fade halves the weight of all samples so far.
func (s *Sketch) fade() {
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += s.counts[i]
	}
}

// Count is the weight of the samples.
func (s *Sketch) Count() float64 { return float64(s.total) }

// Quantile estimates the latency below which the given share of samples lies;
// zero when there is no sample.
func (s *Sketch) Quantile(quantile float64) time.Duration {
	if s.cached.valid && s.cached.quantile == quantile && s.cached.samples < refreshEvery {
		return s.cached.value
	}
	value := s.compute(quantile)
	s.cached = cachedQuantile{quantile: quantile, value: value, valid: true}
	return value
}

func (s *Sketch) compute(quantile float64) time.Duration {
	if s.total == 0 {
		return 0
	}
	wanted := float32(quantile) * s.total
	var seen float32
	position := 0.0
	for i, count := range s.counts {
		if count == 0 {
			continue
		}
		position = float64(i) + float64(min((wanted-seen)/count, 1))
		seen += count
		if seen >= wanted {
			break
		}
	}
	return time.Duration(float64(sketchSmallest) * math.Pow(sketchGrowth, position))
}
