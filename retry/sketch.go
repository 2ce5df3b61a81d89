package retry

import (
	"math"
	"time"
)

// Bucket layout of a Sketch. The relative error is half of sketchGrowth-1.
const (
	sketchBuckets = 128
	sketchMin     = 10 * time.Microsecond
	sketchGrowth  = 1.15
)

// DefaultSketchHalfLife is the default of Sketch.HalfLife.
const DefaultSketchHalfLife = 500

// Sketch estimates quantiles of recent latencies between 10 µs and about 10 minutes, in
// constant space and with a relative error of about 8 percent. Old samples decay with
// the number of newer samples, not with time. The zero Sketch is empty and ready for use.
type Sketch struct {
	counts [sketchBuckets]float32
	total  float32
	// HalfLife is the number of samples after which the weights of earlier samples
	// are halved; zero means DefaultSketchHalfLife.
	HalfLife     int
	lastQuantile cachedQuantile
}

// cachedQuantile is the last result of Quantile, reused until enough new samples
// have been added.
type cachedQuantile struct {
	quantile float64
	value    time.Duration
	samples  int
	valid    bool
}

// cacheSamples is the number of samples for which a cached quantile is reused.
const cacheSamples = 16

var logGrowth = math.Log(sketchGrowth)

// Add adds a sample.
func (s *Sketch) Add(latency time.Duration) {
	s.counts[bucketIndex(latency)]++
	s.total++
	s.lastQuantile.samples++
	memory := s.HalfLife
	if memory <= 0 {
		memory = DefaultSketchHalfLife
	}
	if s.total >= float32(2*memory) {
		s.decay()
	}
}

func bucketIndex(latency time.Duration) int {
	if latency <= sketchMin {
		return 0
	}
	i := int(math.Log(float64(latency)/float64(sketchMin)) / logGrowth)
	return min(i, sketchBuckets-1)
}

// decay halves the weights of all samples.
func (s *Sketch) decay() {
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += s.counts[i]
	}
}

// Count returns the total weight of the samples.
func (s *Sketch) Count() float64 { return float64(s.total) }

// Quantile estimates the given quantile, such as 0.95, of the latencies. It returns
// zero if there are no samples.
func (s *Sketch) Quantile(quantile float64) time.Duration {
	if s.lastQuantile.valid && s.lastQuantile.quantile == quantile && s.lastQuantile.samples < cacheSamples {
		return s.lastQuantile.value
	}
	value := s.estimateQuantile(quantile)
	s.lastQuantile = cachedQuantile{quantile: quantile, value: value, valid: true}
	return value
}

func (s *Sketch) estimateQuantile(quantile float64) time.Duration {
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
	return time.Duration(float64(sketchMin) * math.Pow(sketchGrowth, position))
}
