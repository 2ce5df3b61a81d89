// Package settings loads and checks the process settings of a node: addresses,
// zone, limits and timeouts. What operators decide for all nodes is not here;
// it lives in the configuration record (package policy).
package settings

import "time"

// Settings is the whole settings file of one node.
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
	// ID is unique among the nodes; peers and the machine list know the node by it.
	ID string `koanf:"id" validate:"required,max=64,identifier"`
	// Zone is the failure zone in which the node runs.
	Zone string `koanf:"zone" validate:"required,max=64,identifier"`
	// Advertise is the IP number and port at which peers reach this node; the
	// peer listener's own address when empty.
	Advertise string `koanf:"advertise" validate:"omitempty,ip_port"`
}

// Listen holds the addresses of the node's three listeners, as IP number and port.
type Listen struct {
	// Caller serves queries.
	Caller string `koanf:"caller" validate:"required,ip_port"`
	// Operator serves operators, metrics and the health endpoints.
	Operator string `koanf:"operator" validate:"required,ip_port,nefield=Caller"`
	// Peer serves the other nodes.
	Peer string `koanf:"peer" validate:"required,ip_port,nefield=Caller,nefield=Operator"`
}

// Remote is a service of the platform.
type Remote struct {
	// Address is the IP number and port of the service.
	Address string `koanf:"address" validate:"required,ip_port"`
	// Timeout bounds one request to the service, besides the wait of a watch.
	Timeout time.Duration `koanf:"timeout" validate:"min=10ms,max=60s"`
}

// Caller bounds what callers may ask of the node.
type Caller struct {
	// BodyBytes is the greatest size of a request's JSON document, in bytes.
	BodyBytes int64 `koanf:"body_bytes" validate:"min=1024,max=67108864"`
	// Queries is the greatest number of queries that the node holds at once,
	// queued and running together.
	Queries int `koanf:"queries" validate:"min=1,max=1000000"`
	// ReadTimeout bounds the reading of one request.
	ReadTimeout time.Duration `koanf:"read_timeout" validate:"min=100ms,max=10m"`
	// IdleTimeout closes a keep-alive connection without requests.
	IdleTimeout time.Duration `koanf:"idle_timeout" validate:"min=1s,max=1h"`
}

// Backend sets the node's dealings with the servers.
type Backend struct {
	// HealthInterval is the mean time between two health readings of a server by
	// each node that reads it for all nodes.
	HealthInterval time.Duration `koanf:"health_interval" validate:"min=100ms,max=1h"`
	// HealthTimeout bounds one health reading.
	HealthTimeout time.Duration `koanf:"health_timeout" validate:"min=10ms,max=60s"`
	// HealthConcurrency bounds the health readings that run at once.
	HealthConcurrency int `koanf:"health_concurrency" validate:"min=1,max=1024"`
	// HealthReadings is the budget of health and load readings a second. A node
	// that is one of a server's first two readers reads it beyond the budget.
	HealthReadings float64 `koanf:"health_readings" validate:"min=0.1,max=100000"`
	// SpareConnections is the number of idle connections kept to each server.
	SpareConnections int `koanf:"spare_connections" validate:"min=0,max=1024"`
}

// AtMostOnce sets the window in which request IDs of not-repeatable requests
// are remembered.
type AtMostOnce struct {
	// Window is how long an outcome is remembered after the request ended. Other
	// nodes keep their claims for 20 minutes, so that a longer one could not be
	// kept up when this node ends.
	Window time.Duration `koanf:"window" validate:"min=1s,max=20m"`
	// Requests bounds the requests remembered; when all places are taken,
	// further not-repeatable requests are refused as not run.
	Requests int `koanf:"requests" validate:"min=1,max=10000000"`
	// ResultBytes bounds the results that are kept for repetitions, in bytes;
	// the oldest go first, and one that takes more than a sixteenth is not kept.
	ResultBytes int64 `koanf:"result_bytes" validate:"min=0,max=8589934592"`
}

// Explanation sets how many explanations of finished requests are kept.
type Explanation struct {
	Requests int `koanf:"requests" validate:"min=1,max=1000000"`
	// Bytes bounds what they take together; the oldest go first.
	Bytes int64 `koanf:"bytes" validate:"min=65536,max=8589934592"`
}

// Stop sets the planned stop.
type Stop struct {
	// Grace is how long the listeners stay open after the stop began, so that
	// callers see that the node is no longer ready.
	Grace time.Duration `koanf:"grace" validate:"min=0,max=10m"`
}

// Log sets the log on standard error.
type Log struct {
	Level string `koanf:"level" validate:"oneof=debug info warn error"`
}

// Default settings; the identity and the addresses have none.
func Default() Settings {
	return Settings{
		Store:       Remote{Timeout: 2 * time.Second},
		MachineList: Remote{Timeout: 2 * time.Second},
		Caller: Caller{
			BodyBytes:   1 << 20,
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
