package limit

import (
	"math"
	"slices"
	"time"
)

// Policy selects how a Limiter determines its limit.
type Policy int

const (
	// Adaptive adapts the limit to latencies and shed replies. It is the default.
	Adaptive Policy = iota
	// Fixed sets the limit to the server's slots.
	Fixed
	// Unlimited applies no limit.
	Unlimited
)

// Signal selects the latency statistic that indicates a queue at the server.
type Signal int

const (
	// QuantileLatency compares a low quantile of a window with its baseline. A standing
	// queue delays fast requests too, and their latency varies least. It is the default.
	QuantileLatency Signal = iota
	// MeanLatency compares the mean of a window with its baseline.
	MeanLatency
)

// Options configures a Limiter. Zero fields take their defaults.
type Options struct {
	Policy Policy
	// Minimum is the minimum limit; default 1.
	Minimum int
	// Growth is the maximum limit as a multiple of the server's slots; default 1.2.
	// A value above 1 compensates for the time that replies spend on the network.
	Growth float64
	// Signal is the signal for congestion; default QuantileLatency.
	Signal Signal
	// QueueShare applies to QuantileLatency: the queueing delay above which the server
	// counts as congested, as a fraction of the mean baseline; default 0.15.
	QueueShare float64
	// Quantile applies to QuantileLatency: the quantile of a window's latencies that is
	// compared; default 0.25.
	Quantile float64
	// Tolerance applies to MeanLatency: the ratio of a window's mean latency to its
	// baseline above which the server counts as congested; default 1.2.
	Tolerance float64
	// Step is added to the limit after a window that reached it without congestion;
	// default 0.5.
	Step float64
	// LatencyBackoff is the factor applied to the limit after a congested window;
	// default 0.9.
	LatencyBackoff float64
	// ShedBackoff is the factor applied to the limit after a shed reply; default 0.75.
	ShedBackoff float64
	// WindowSamples is the number of latency samples per window; default 20.
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

// Smoothing factors of the mean baseline. It falls quickly and rises slowly, so that a
// standing queue is not mistaken for the server's own latency.
const (
	baselineFallRate = 0.3
	baselineRiseRate = 0.003
)

// Smoothing factors of the quantile baseline. It falls more slowly, so that it settles in
// the middle of the windows without congestion rather than at the lowest of them.
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

// setIfNotPositive sets the field to value if it is zero or negative.
func setIfNotPositive[T int | float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Outcome is the result of a request as far as it concerns the limit.
type Outcome int

const (
	// Answered means that the request ran; its latency is a sample.
	Answered Outcome = iota
	// Shed means that the server rejected the request due to overload.
	Shed
	// Ignored means that the request gives no information about the server's load.
	Ignored
)

// Limiter is one client's limit on the requests in flight to one server.
type Limiter struct {
	options         Options
	slots           int
	clients         int  // clients that share the server, including this one
	learned         bool // set once the limit has been adapted
	connectionLimit int  // zero means none
	limit           float64
	inFlight        int
	meanBaseline    float64
	// quantileBaseline is the smoothed low quantile of the windows, in seconds. It rises
	// slowly.
	quantileBaseline float64
	window           window
	// decreasedAt is when the limit was last decreased. Requests that started before
	// then give no information about the decreased limit.
	decreasedAt time.Duration
	decreased   bool
}

// window collects the samples for one adjustment of the limit.
type window struct {
	samples      []float64 // latencies, in seconds
	sum          float64
	peakInFlight int
	unmetDemand  bool
}

// New returns a Limiter for a server with the given number of slots.
func New(slots int, options Options) *Limiter {
	l := &Limiter{options: options.withDefaults(), clients: 1}
	l.SetSlots(slots)
	return l
}

// SetSlots changes the server's number of slots. A limit that has been adapted is kept
// within the new bounds.
func (l *Limiter) SetSlots(slots int) {
	l.slots = max(slots, 1)
	l.applyInitialLimit()
}

// SetClients sets the number of clients that share the server, including this one. A
// limit that has not been adapted yet starts from an even share of the slots; an
// adapted limit stays.
func (l *Limiter) SetClients(clients int) {
	l.clients = max(clients, 1)
	l.applyInitialLimit()
}

// applyInitialLimit sets the limit to an even share of the slots unless it has been
// adapted.
func (l *Limiter) applyInitialLimit() {
	if !l.learned {
		l.limit = math.Ceil(float64(l.slots) / float64(l.clients))
	}
	l.clampLimit()
}

// SetConnectionLimit caps the limit at the client's share of the server's connections;
// zero or less removes the cap.
func (l *Limiter) SetConnectionLimit(connections int) {
	l.connectionLimit = max(connections, 0)
	l.clampLimit()
}

// Limit returns the number of requests that may be in flight.
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

// capByConnections applies the connection limit and a minimum of 1.
func (l *Limiter) capByConnections(limit int) int {
	if l.connectionLimit > 0 {
		limit = min(limit, l.connectionLimit)
	}
	return max(limit, 1)
}

// InFlight returns the number of requests in flight.
func (l *Limiter) InFlight() int { return l.inFlight }

// CanStart reports whether one more request may start.
func (l *Limiter) CanStart() bool { return l.CanStartWithReserve(0) }

// CanStartWithReserve reports whether one more request may start if the limit may be
// exceeded by reserve. The connection limit still applies.
func (l *Limiter) CanStartWithReserve(reserve int) bool {
	return l.inFlight < l.capByConnections(l.Limit()+reserve)
}

// Start records that a request started. It does not check the limit; the caller calls
// CanStart first.
func (l *Limiter) Start() {
	l.inFlight++
	l.window.peakInFlight = max(l.window.peakInFlight, l.inFlight)
}

// RecordDemand records that a request is waiting that a higher limit would let start,
// because its class has used up its share although the limit itself is not reached.
func (l *Limiter) RecordDemand() { l.window.unmetDemand = true }

// End records that a request ended at now, latency after it started.
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

// addSample adds a latency to the window and adjusts the limit when the window is full.
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

// lowQuantile returns the configured quantile of the window's latencies, in seconds.
func (l *Limiter) lowQuantile() float64 {
	slices.Sort(l.window.samples)
	return l.window.samples[min(int(l.options.Quantile*float64(len(l.window.samples))), len(l.window.samples)-1)]
}

// isCongested reports whether a window with the given mean and low quantile, in seconds,
// indicates congestion.
func (l *Limiter) isCongested(mean, low float64) bool {
	if l.meanBaseline == 0 {
		return false
	}
	if l.options.Signal == MeanLatency {
		return mean > l.meanBaseline*l.options.Tolerance
	}
	return low-l.quantileBaseline > l.meanBaseline*l.options.QueueShare
}

// smooth moves the current value towards the observed one, by the factor fall if that is
// lower and rise otherwise. A current value of zero is replaced by the observed one.
func smooth(current, observed, fall, rise float64) float64 {
	switch {
	case current == 0:
		return observed
	case observed < current:
		return current + (observed-current)*fall
	default:
		return current + (observed-current)*rise
	}
}

// decrease multiplies the limit by factor. Requests that were in flight together decrease
// it only once.
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
	maximum := math.Max(float64(l.slots)*l.options.Growth, float64(l.options.Minimum))
	l.limit = math.Min(math.Max(l.limit, float64(l.options.Minimum)), maximum)
}
