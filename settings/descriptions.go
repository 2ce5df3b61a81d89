package settings

// descriptions maps the path of each setting to a one-line description with its unit. The flags' help
// and docs/SETTINGS.md have the same text. Durations have no fixed unit: their values carry one, as
// in 250ms.
var descriptions = map[string]string{
	"node.id":                    "name of this node, unique among the nodes",
	"node.zone":                  "failure zone in which the node runs",
	"node.advertise":             "IP number and port at which other nodes reach this one; that of listen.peer when empty",
	"listen.caller":              "IP number and port that serves queries",
	"listen.operator":            "IP number and port that serves operators, /metrics, /healthz and /readyz",
	"listen.peer":                "IP number and port that serves the other nodes",
	"store.address":              "IP number and port of the platform's key-value service",
	"store.timeout":              "longest time of one request to the platform's key-value service, besides the wait of a watch",
	"machine_list.address":       "IP number and port of the platform's machine list",
	"machine_list.timeout":       "longest time of one request to the platform's machine list, besides the wait of a watch",
	"caller.body_bytes":          "greatest size of a query's document, in bytes",
	"caller.connections":         "callers' connections; more close those that have been silent for longest",
	"caller.memory_bytes":        "memory for requests that are received or at work, in bytes, beyond 8 KiB of each; more are refused as not run; two documents of the greatest size always fit",
	"caller.queries":             "queries held at once, queued and running; more are refused as not run",
	"caller.read_timeout":        "longest time that reading one request may take",
	"caller.idle_timeout":        "time after which a keep-alive connection without requests is closed",
	"backend.health_interval":    "mean time between two health readings of a server by each of its readers",
	"backend.health_timeout":     "longest time of one health reading",
	"backend.health_concurrency": "health readings at once",
	"backend.health_readings":    "health and load readings a second; servers that this node reads for all nodes are read beyond it",
	"backend.spare_connections":  "idle connections kept ready to each server",
	"at_most_once.window":        "time for which the outcome of a not-repeatable request is remembered after its end",
	"at_most_once.requests":      "not-repeatable requests remembered; more are refused as not run",
	"at_most_once.result_bytes":  "results kept for repetitions in all, in bytes; the oldest go first",
	"explanation.requests":       "finished requests whose explanation is kept",
	"explanation.bytes":          "what the explanations take together, in bytes; the oldest go first",
	"stop.grace":                 "time for which the listeners stay open after a planned stop began",
	"log.level":                  "least level that is logged: debug, info, warn or error; no level logs bodies",
}
