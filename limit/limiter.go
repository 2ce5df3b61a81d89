package limit

import (
	"math"
	"slices"
	"time"
)

// Policy tells how a Limiter finds its limit.
type Policy int

const (
	// Adaptive learns from latencies and shed replies. It is the default.
	Adaptive Policy = iota
	// Fixed keeps the limit at the server's slots.
	Fixed
	// Unlimited sets no limit.
	Unlimited
)

// Signal names what a limiter takes as the sign of a queue at the server.
type Signal int

const (
	// QuantileLatency compares a low quantile of a window with that of calm windows:
	// a lasting queue delays quick requests too, and those vary least. It is the
	// default.
	QuantileLatency Signal = iota
	// MeanLatency compares the mean of a window with the baseline.
	MeanLatency
)

// Options sets up a Limiter. The zero value of a field stands for its default.
type Options struct {
	Policy Policy
	// Minimum is the least limit; default 1.
	Minimum int
	// Growth bounds the limit as a multiple of the server's slots; default 1.2.
	// Above 1 it makes up for the time that replies spend on the network.
	Growth float64
	// Signal is the sign of congestion; default QuantileLatency.
	Signal Signal
	// QueueShare is for QuantileLatency: the wait in a server's queue above which it
	// counts as congested, as a share of the baseline; default 0.15.
	QueueShare float64
	// Quantile is for QuantileLatency: the part of a window's requests that are quicker
	// than the one compared; default 0.25.
	Quantile float64
	// Tolerance is for MeanLatency: the ratio of a window's mean latency to the
	// baseline above which the server counts as congested; default 1.2.
	Tolerance float64
	// Step is added to the limit after a calm window that reached it; default 0.5.
	Step float64
	// LatencyBackoff multiplies the limit of a congested server; default 0.9.
	LatencyBackoff float64
	// ShedBackoff multiplies the limit after a shed reply; default 0.75.
	ShedBackoff float64
	// WindowSamples is the number of answers that make a window; default 20.
	WindowSamples int
}

// Defaults of Options.
const (
	DefaultMinimum        = 1
	DefaultGrowth         = 1.2
	DefaultQueueShare     = 0.15
	DefaultQuantile       = 0.25
	DefaultTolerance      = 1.2
	DefaultStep           = 0.5
	DefaultLatencyBackoff = 0.9
	DefaultShedBackoff    = 0.75
	DefaultWindowSamples  = 20
)

// Rates at which the baseline follows a window's mean: quickly down, slowly up,
// so that a lasting queue isn't taken for the server's own latency.
const (
	baselineFallRate = 0.3
	baselineRiseRate = 0.003
)

// Rates of the floor. It follows less quickly down, so that it lies amid calm
// windows and not at the lowest of them.
const (
	quantileFallRate = 0.05
	quantileRiseRate = 0.003
)

func (o Options) withDefaults() Options {
	setIfNotPositive(&o.Minimum, DefaultMinimum)
	setIfNotPositive(&o.Growth, DefaultGrowth)
	setIfNotPositive(&o.QueueShare, DefaultQueueShare)
	setIfNotPositive(&o.Quantile, DefaultQuantile)
	setIfNotPositive(&o.Tolerance, DefaultTolerance)
	setIfNotPositive(&o.Step, DefaultStep)
	setIfNotPositive(&o.LatencyBackoff, DefaultLatencyBackoff)
	setIfNotPositive(&o.ShedBackoff, DefaultShedBackoff)
	setIfNotPositive(&o.WindowSamples, DefaultWindowSamples)
	return o
}

// setIfNotPositive sets a field that is not positive.
func setIfNotPositive[T int | float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Outcome is how a request ended.
type Outcome int

const (
	// Answered requests ran; their latency is a sample.
	Answered Outcome = iota
	// Shed requests were turned away by a server that was too busy.
	Shed
	// Ignored requests say nothing about the server's load.
	Ignored
)

// Limiter holds one client's limit for one server.
type Limiter struct {
	options         Options
	slots           int
	clients         int // clients of the server, this one included
	learned         bool
	connectionLimit int // by connections; zero is none
	limit           float64
	inFlight        int
	meanBaseline    float64
	// quantileBaseline is the low quantile of calm windows, in seconds; it rises slowly.
	quantileBaseline float64
	window           window
	// decreasedAt is when the limit was last lowered; requests that started
	// before then say nothing about the lower limit.
	decreasedAt time.Duration
	decreased   bool
}

// window gathers samples until they make a verdict.
type window struct {
	samples      []float64 // latencies, in seconds
	sum          float64
	peakInFlight int
	unmetDemand  bool
}

// New returns a Limiter for a server with the given slots.
func New(slots int, options Options) *Limiter {
	l := &Limiter{options: options.withDefaults(), clients: 1}
	l.SetSlots(slots)
	return l
}

// SetSlots changes the hint; a learned limit stays, within its new bounds.
func (l *Limiter) SetSlots(slots int) {
	l.slots = max(slots, 1)
	l.applyInitialLimit()
}

// SetClients tells how many clients are known to share the server, this one
// included. A limit of which nothing is learned yet starts from an even share
// of the slots; a learned one stays.
func (l *Limiter) SetClients(clients int) {
	l.clients = max(clients, 1)
	l.applyInitialLimit()
}

func (l *Limiter) applyInitialLimit() {
	if !l.learned {
		l.limit = math.Ceil(float64(l.slots) / float64(l.clients))
	}
	l.clampLimit()
}

// SetConnectionLimit bounds the limit by the client's share of the server's
// connections; zero or less sets no bound.
func (l *Limiter) SetConnectionLimit(connections int) {
	l.connectionLimit = max(connections, 0)
	l.clampLimit()
}

// Limit is the number of requests that may be in flight.
func (l *Limiter) Limit() int {
	switch l.options.Policy {
	case Unlimited:
		return math.MaxInt32
	case Fixed:
		return l.capByConnections(l.slots)
	default:
		return l.capByConnections(int(math.Round(l.limit)))
	}
}

func (l *Limiter) capByConnections(limit int) int {
	if l.connectionLimit > 0 {
		limit = min(limit, l.connectionLimit)
	}
	return max(limit, 1)
}

// InFlight is the number of requests in flight.
func (l *Limiter) InFlight() int { return l.inFlight }

// CanStart reports whether one more request may start.
func (l *Limiter) CanStart() bool { return l.CanStartWithReserve(0) }

// CanStartWithReserve reports whether one more request may start when that many more than
// the limit may be in flight. The ceiling by connections holds all the same.
func (l *Limiter) CanStartWithReserve(reserve int) bool {
	return l.inFlight < l.capByConnections(l.Limit()+reserve)
}

// Start notes that a request started. It may exceed the limit: the caller asks
// Free before.
func (l *Limiter) Start() {
	l.inFlight++
	l.window.peakInFlight = max(l.window.peakInFlight, l.inFlight)
}

// RecordDemand notes that a request waits which a higher limit would let start, though
// the limit itself was not reached: its class's share of it was.
func (l *Limiter) RecordDemand() { l.window.unmetDemand = true }

// End notes that a request ended at now, latency after it started.
func (l *Limiter) End(now, latency time.Duration, outcome Outcome) {
	l.inFlight--
	if l.options.Policy != Adaptive {
		return
	}
	switch outcome {
	case Shed:
		l.decrease(now, latency, l.options.ShedBackoff)
	case Answered:
		l.addSample(now, latency)
	case Ignored:
	}
}

// addSample adds an answer to the window and judges a full window.
func (l *Limiter) addSample(now, latency time.Duration) {
	l.window.samples = append(l.window.samples, latency.Seconds())
	l.window.sum += latency.Seconds()
	if len(l.window.samples) < l.options.WindowSamples {
		return
	}
	l.learned = true
	mean, low := l.window.sum/float64(len(l.window.samples)), l.lowQuantile()
	used := l.window.unmetDemand || l.window.peakInFlight >= l.Limit()
	l.window = window{samples: l.window.samples[:0], peakInFlight: l.inFlight}
	congested := l.isCongested(mean, low)
	l.meanBaseline = smooth(l.meanBaseline, mean, baselineFallRate, baselineRiseRate)
	l.quantileBaseline = smooth(l.quantileBaseline, low, quantileFallRate, quantileRiseRate)
	switch {
	case congested:
		l.decrease(now, latency, l.options.LatencyBackoff)
	case used:
		l.limit += l.options.Step
		l.clampLimit()
	}
}

// lowQuantile is the low quantile of the window.
func (l *Limiter) lowQuantile() float64 {
	slices.Sort(l.window.samples)
	return l.window.samples[min(int(l.options.Quantile*float64(len(l.window.samples))), len(l.window.samples)-1)]
}

// isCongested judges a window by its mean and its low quantile, in seconds.
func (l *Limiter) isCongested(mean, low float64) bool {
	if l.meanBaseline == 0 {
		return false
	}
	if l.options.Signal == MeanLatency {
		return mean > l.meanBaseline*l.options.Tolerance
	}
	return low-l.quantileBaseline > l.meanBaseline*l.options.QueueShare
}

// smooth moves a known value towards one just seen, down and up at the given rates.
func smooth(known, seen, fall, rise float64) float64 {
	switch {
	case known == 0:
		return seen
	case seen < known:
		return known + (seen-known)*fall
	default:
		return known + (seen-known)*rise
	}
}

// decrease multiplies the limit, once per generation of requests.
func (l *Limiter) decrease(now, latency time.Duration, factor float64) {
	if l.decreased && now-latency < l.decreasedAt {
		return
	}
	l.decreased = true
	l.learned = true
	l.decreasedAt = now
	l.limit *= factor
	l.clampLimit()
}

func (l *Limiter) clampLimit() {
	highest := math.Max(float64(l.slots)*l.options.Growth, float64(l.options.Minimum))
	l.limit = math.Min(math.Max(l.limit, float64(l.options.Minimum)), highest)
}
