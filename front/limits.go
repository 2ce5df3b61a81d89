package front

import (
	"cmp"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/banksail/banksail/internal/resource"
)

// Shares of the memory limit of the process. The rest is for the program itself, for the garbage
// that remains until the next collection, and for connections to others.
const (
	// replyMemoryShare is for long bodies of replies.
	replyMemoryShare = 0.25
	// requestMemoryShare is for callers' requests, beyond the first bytes of each.
	requestMemoryShare = 0.15
	// otherMemoryShare is for requests on all other listeners, beyond the first bytes of each.
	otherMemoryShare = 0.05
)

// listenerShare is a listener's share of the limits on the process, for its connections.
type listenerShare struct{ sockets, memory float64 }

// Shares of the listeners. What remains of the sockets is for connections that the node opens.
var (
	callersShare   = listenerShare{sockets: 3.0 / 8, memory: 0.2}
	directoryShare = listenerShare{sockets: 1.0 / 16, memory: 0.05}
	peersShare     = listenerShare{sockets: 1.0 / 8, memory: 0.1}
	readinessShare = listenerShare{sockets: 1.0 / 32, memory: 0.0125}
	metricsShare   = listenerShare{sockets: 1.0 / 32, memory: 0.0125}
)

const (
	// connectionBytes is the memory of a connection with a request that needs no share of the
	// memory for requests, including what the kernel may hold for it.
	connectionBytes = 64 << 10
	// minListenerConnections is the least number of connections on a listener, however low the limits are.
	minListenerConnections = 8
	// connectionStall is how long a connection must have been silent before it can be closed in
	// favour of another one. Requests follow the opening of their connections at once.
	connectionStall = 5 * time.Millisecond
	// defaultMemoryBytes and defaultMaxSockets are assumed if the settings have no limits.
	defaultMemoryBytes = 256 << 20
	defaultMaxSockets  = 4096
)

// limits limits what others make the process hold.
type limits struct {
	memoryBytes, maxSockets int64
	// replyBytes is the memory for long bodies of replies.
	replyBytes int64
	// requests is the memory for callers' requests, and others for requests on all other listeners.
	requests, others *resource.Pool
	registry         prometheus.Registerer
	// pressed is set from when a memory pool has been well used until its memory is released; used
	// by releaseMemory only.
	pressed bool
}

// newLimits divides the limits of the process. A nil registry registers no metrics.
func newLimits(settings Settings, registry prometheus.Registerer) *limits {
	l := &limits{
		memoryBytes: cmp.Or(settings.MemoryBytes, defaultMemoryBytes),
		maxSockets:  int64(cmp.Or(settings.MaxSockets, defaultMaxSockets)),
		registry:    registry,
	}
	memoryPool := func(listener string, share float64) *resource.Pool {
		pool := resource.NewPool(resource.Options{Limit: l.memory(share)})
		l.register(pool, "request_memory_bytes", "Memory of requests beyond the first bytes of each", listener)
		return pool
	}
	l.replyBytes = l.memory(replyMemoryShare)
	l.requests = memoryPool("callers", requestMemoryShare)
	l.others = memoryPool("others", otherMemoryShare)
	return l
}

// releaseShare is the share of a memory pool whose use leaves so much garbage behind that it is worth
// a collection, and idleShare the share below which the pool counts as unused again.
const (
	releaseShare = 0.25
	idleShare    = 0.05
)

// releaseMemory returns memory to the operating system once requests that have used a good part of
// their pool are gone. Without it the garbage stays until the heap grows again, as ordinary requests
// need little. It is called periodically, by one goroutine.
func (l *limits) releaseMemory() {
	for _, pool := range []*resource.Pool{l.requests, l.others} {
		peak, limit := float64(pool.TakePeak()), float64(pool.Limit())
		l.pressed = l.pressed || peak > releaseShare*limit
		if float64(pool.Used()) > idleShare*limit {
			return
		}
	}
	if l.pressed {
		l.pressed = false
		debug.FreeOSMemory()
	}
}

// memory returns a share of the memory, in bytes.
func (l *limits) memory(share float64) int64 { return int64(share * float64(l.memoryBytes)) }

// connections returns the pool of the connections on a listener.
func (l *limits) connections(listener string, share listenerShare) *resource.Pool {
	count := min(int64(share.sockets*float64(l.maxSockets)), l.memory(share.memory)/connectionBytes)
	pool := resource.NewPool(resource.Options{Limit: max(count, minListenerConnections), MinStall: connectionStall})
	l.register(pool, "listener_connections", "Open connections that others have opened", listener)
	return pool
}

// register registers the metrics of a pool.
func (l *limits) register(pool *resource.Pool, name, help, listener string) {
	if l.registry == nil {
		return
	}
	labels := prometheus.Labels{"listener": listener}
	l.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "banksail_" + name, Help: help + ".", ConstLabels: labels},
			func() float64 { return float64(pool.Used()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "banksail_" + name + "_limit", Help: help + ", at most.", ConstLabels: labels},
			func() float64 { return float64(pool.Limit()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "banksail_" + name + "_evictions_total", Help: "Holders that lost their share to others: " + help + ".", ConstLabels: labels},
			func() float64 { return float64(pool.Evictions()) }),
	)
}
