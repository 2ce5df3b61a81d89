// Package settings loads and validates the process settings of a node: addresses, zone, limits and
// timeouts. The configuration that operators change for all nodes at once is in package policy.
package settings

import "time"

// Settings is the content of a node's settings file.
type Settings struct {
	Node        Node        `koanf:"node"`
	Listen      Listen      `koanf:"listen"`
	Store       Remote      `koanf:"store"`
	MachineList Remote      `koanf:"machine_list"`
	Caller      Caller      `koanf:"caller"`
	Backend     Backend     `koanf:"backend"`
	AtMostOnce  AtMostOnce  `koanf:"at_most_once"`
	Explanation Explanation `koanf:"explanation"`
	Stop        Stop        `koanf:"stop"`
	Log         Log         `koanf:"log"`
}

// Node identifies the node.
type Node struct {
	// ID is unique among the nodes. It identifies the node to peers and in the machine list.
	ID string `koanf:"id" validate:"required,max=64,identifier"`
	// Zone is the failure zone in which the node runs.
	Zone string `koanf:"zone" validate:"required,max=64,identifier"`
	// Advertise is the IP address and port at which peers reach the node. If it is empty, it is
	// Listen.Peer.
	Advertise string `koanf:"advertise" validate:"omitempty,ip_port"`
}

// Listen holds the addresses of the node's listeners, each an IP address and port.
type Listen struct {
	// Caller is the address of the API for callers.
	Caller string `koanf:"caller" validate:"required,ip_port"`
	// Operator is the address of the operator API, the metrics and the health endpoints.
	Operator string `koanf:"operator" validate:"required,ip_port,nefield=Caller"`
	// Peer is the address for requests from other nodes.
	Peer string `koanf:"peer" validate:"required,ip_port,nefield=Caller,nefield=Operator"`
}

// Remote configures the client of a platform service.
type Remote struct {
	// Address is the IP address and port of the service.
	Address string `koanf:"address" validate:"required,ip_port"`
	// Timeout is the timeout of one request. A watch may take its wait time in addition.
	Timeout time.Duration `koanf:"timeout" validate:"min=10ms,max=60s"`
}

// Caller holds the limits on callers' requests and connections.
type Caller struct {
	// BodyBytes is the maximum size of a request's JSON document in bytes.
	BodyBytes int64 `koanf:"body_bytes" validate:"min=1024,max=67108864"`
	// MemoryBytes is the memory for requests, from their first byte until they have been answered;
	// two documents of the maximum size always fit.
	MemoryBytes int64 `koanf:"memory_bytes" validate:"min=1048576,max=68719476736"`
	// Connections is the maximum number of callers' connections.
	Connections int `koanf:"connections" validate:"min=16,max=1000000"`
	// Queries is the maximum number of queries in the node, queued and running.
	Queries int `koanf:"queries" validate:"min=1,max=1000000"`
	// ReadTimeout is the maximum time to read one request.
	ReadTimeout time.Duration `koanf:"read_timeout" validate:"min=100ms,max=10m"`
	// IdleTimeout is the time after which an idle keep-alive connection is closed.
	IdleTimeout time.Duration `koanf:"idle_timeout" validate:"min=1s,max=1h"`
}

// Backend configures health checks of servers and connections to them.
type Backend struct {
	// HealthInterval is the mean time between two health checks of a server by each node that checks
	// it on behalf of all nodes.
	HealthInterval time.Duration `koanf:"health_interval" validate:"min=100ms,max=1h"`
	// HealthTimeout is the timeout of one health check.
	HealthTimeout time.Duration `koanf:"health_timeout" validate:"min=10ms,max=60s"`
	// HealthConcurrency is the maximum number of concurrent health checks.
	HealthConcurrency int `koanf:"health_concurrency" validate:"min=1,max=1024"`
	// HealthReadings is the budget of health checks and load reads per second. The first two readers
	// of a server read it even if that exceeds their budget.
	HealthReadings float64 `koanf:"health_readings" validate:"min=0.1,max=100000"`
	// SpareConnections is the number of idle connections kept open to each server.
	SpareConnections int `koanf:"spare_connections" validate:"min=0,max=1024"`
}

// AtMostOnce configures the deduplication of non-repeatable requests by request ID.
type AtMostOnce struct {
	// Window is how long the outcome of a request is kept after the request ended. Other nodes keep
	// their claims for 20 minutes, so a longer window would not hold after this node terminated.
	Window time.Duration `koanf:"window" validate:"min=1s,max=20m"`
	// Requests is the maximum number of requests that are kept. While it is reached, further
	// non-repeatable requests are rejected as not run.
	Requests int `koanf:"requests" validate:"min=1,max=10000000"`
	// ResultBytes is the maximum total size in bytes of the results that are kept to answer
	// duplicates. The oldest are evicted first. A result larger than a sixteenth of it is not kept.
	ResultBytes int64 `koanf:"result_bytes" validate:"min=0,max=8589934592"`
}

// Explanation limits the explanations of finished requests that are kept.
type Explanation struct {
	Requests int `koanf:"requests" validate:"min=1,max=1000000"`
	// Bytes is the maximum total size of the explanations. The oldest are evicted first.
	Bytes int64 `koanf:"bytes" validate:"min=65536,max=8589934592"`
}

// Stop configures the graceful shutdown.
type Stop struct {
	// Grace is how long the listeners stay open after the shutdown began, so that callers observe
	// that the node is no longer ready.
	Grace time.Duration `koanf:"grace" validate:"min=0,max=10m"`
}

// Log configures the log, which is written to standard error.
type Log struct {
	Level string `koanf:"level" validate:"oneof=debug info warn error"`
}

// Default returns the default settings. The node's identity and the addresses have no defaults.
func Default() Settings {
	return Settings{
		Store:       Remote{Timeout: 2 * time.Second},
		MachineList: Remote{Timeout: 2 * time.Second},
		Caller: Caller{
			BodyBytes:   1 << 20,
			MemoryBytes: 32 << 20,
			Connections: 1024,
			Queries:     10_000,
			ReadTimeout: 10 * time.Second,
			IdleTimeout: 2 * time.Minute,
		},
		Backend: Backend{
			HealthInterval:    1500 * time.Millisecond,
			HealthTimeout:     time.Second,
			HealthConcurrency: 64,
			HealthReadings:    12,
			SpareConnections:  2,
		},
		AtMostOnce:  AtMostOnce{Window: 10 * time.Minute, Requests: 100_000, ResultBytes: 64 << 20},
		Explanation: Explanation{Requests: 4096, Bytes: 8 << 20},
		Stop:        Stop{Grace: time.Second},
		Log:         Log{Level: "info"},
	}
}
