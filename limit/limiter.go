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
	baselineFall = 0.3
	baselineRise = 0.003
)

// Rates of the floor. It follows less quickly down, so that it lies amid calm
// windows and not at the lowest of them.
const (
	floorFall = 0.05
	floorRise = 0.003
)

func (o Options) withDefaults() Options {
	setDefault(&o.Minimum, DefaultMinimum)
	setDefault(&o.Growth, DefaultGrowth)
	setDefault(&o.QueueShare, DefaultQueueShare)
	setDefault(&o.Quantile, DefaultQuantile)
	setDefault(&o.Tolerance, DefaultTolerance)
	setDefault(&o.Step, DefaultStep)
	setDefault(&o.LatencyBackoff, DefaultLatencyBackoff)
	setDefault(&o.ShedBackoff, DefaultShedBackoff)
	setDefault(&o.WindowSamples, DefaultWindowSamples)
	return o
}

// setDefault sets a field that is not positive.
func setDefault[T int | float64](field *T, value T) {
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
	options  Options
	slots    int
	sharers  int // clients of the server, this one included
	learned  bool
	ceiling  int // by connections; zero is none
	limit    float64
	inFlight int
	baseline float64
	// floor is the low quantile of calm windows, in seconds; it rises slowly.
	floor  float64
	window window
	// loweredAt is when the limit was last lowered; requests that started
	// before then say nothing about the lower limit.
	loweredAt time.Duration
	lowered   bool
}

// window gathers samples until they make a verdict.
type window struct {
	samples []float64 // latencies, in seconds
	sum     float64
	peak    int
	wanted  bool
}

// New returns a Limiter for a server with the given slots.
func New(slots int, options Options) *Limiter {
	l := &Limiter{options: options.withDefaults(), sharers: 1}
	l.SetSlots(slots)
	return l
}

// SetSlots changes the hint; a learned limit stays, within its new bounds.
func (l *Limiter) SetSlots(slots int) {
	l.slots = max(slots, 1)
	l.start()
}

// SetClients tells how many clients are known to share the server, this one
// included. A limit of which nothing is learned yet starts from an even share
// of the slots; a learned one stays.
func (l *Limiter) SetClients(clients int) {
	l.sharers = max(clients, 1)
	l.start()
}

func (l *Limiter) start() {
	if !l.learned {
		l.limit = math.Ceil(float64(l.slots) / float64(l.sharers))
	}
	l.clamp()
}

// SetConnectionLimit bounds the limit by the client's share of the server's
// connections; zero or less sets no bound.
func (l *Limiter) SetConnectionLimit(connections int) {
	l.ceiling = max(connections, 0)
	l.clamp()
}

// Limit is the number of requests that may be in flight.
func (l *Limiter) Limit() int {
	switch l.options.Policy {
	case Unlimited:
		return math.MaxInt32
	case Fixed:
		return l.bounded(l.slots)
	default:
		return l.bounded(int(math.Round(l.limit)))
	}
}

func (l *Limiter) bounded(limit int) int {
	if l.ceiling > 0 {
		limit = min(limit, l.ceiling)
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
	return l.inFlight < l.bounded(l.Limit()+reserve)
}

// Start notes that a request started. It may exceed the limit: the caller asks
// Free before.
func (l *Limiter) Start() {
	l.inFlight++
	l.window.peak = max(l.window.peak, l.inFlight)
}

// RecordDemand notes that a request waits which a higher limit would let start, though
// the limit itself was not reached: its class's share of it was.
func (l *Limiter) RecordDemand() { l.window.wanted = true }

// End notes that a request ended at now, latency after it started.
func (l *Limiter) End(now, latency time.Duration, outcome Outcome) {
	l.inFlight--
	if l.options.Policy != Adaptive {
		return
	}
	switch outcome {
	case Shed:
		l.lower(now, latency, l.options.ShedBackoff)
	case Answered:
		l.sample(now, latency)
	case Ignored:
	}
}

// sample adds an answer to the window and judges a full window.
func (l *Limiter) sample(now, latency time.Duration) {
	l.window.samples = append(l.window.samples, latency.Seconds())
	l.window.sum += latency.Seconds()
	if len(l.window.samples) < l.options.WindowSamples {
		return
	}
	l.learned = true
	mean, low := l.window.sum/float64(len(l.window.samples)), l.low()
	used := l.window.wanted || l.window.peak >= l.Limit()
	l.window = window{samples: l.window.samples[:0], peak: l.inFlight}
	congested := l.congested(mean, low)
	l.baseline = follow(l.baseline, mean, baselineFall, baselineRise)
	l.floor = follow(l.floor, low, floorFall, floorRise)
	switch {
	case congested:
		l.lower(now, latency, l.options.LatencyBackoff)
	case used:
		l.limit += l.options.Step
		l.clamp()
	}
}

// low is the low quantile of the window.
func (l *Limiter) low() float64 {
	slices.Sort(l.window.samples)
	return l.window.samples[min(int(l.options.Quantile*float64(len(l.window.samples))), len(l.window.samples)-1)]
}

// congested judges a window by its mean and its low quantile, in seconds.
func (l *Limiter) congested(mean, low float64) bool {
	if l.baseline == 0 {
		return false
	}
	if l.options.Signal == MeanLatency {
		return mean > l.baseline*l.options.Tolerance
	}
	return low-l.floor > l.baseline*l.options.QueueShare
}

// follow moves a known value towards one just seen, down and up at the given rates.
func follow(known, seen, fall, rise float64) float64 {
	switch {
	case known == 0:
		return seen
	case seen < known:
		return known + (seen-known)*fall
	default:
		return known + (seen-known)*rise
	}
}

// lower multiplies the limit, once per generation of requests.
func (l *Limiter) lower(now, latency time.Duration, factor float64) {
	if l.lowered && now-latency < l.loweredAt {
		return
	}
	l.lowered = true
	l.learned = true
	l.loweredAt = now
	l.limit *= factor
	l.clamp()
}

func (l *Limiter) clamp() {
	highest := math.Max(float64(l.slots)*l.options.Growth, float64(l.options.Minimum))
	l.limit = math.Min(math.Max(l.limit, float64(l.options.Minimum)), highest)
}
