package route

import (
	"encoding/json"
	"fmt"
	"time"
)

// encodedDefinition is the JSON form in which nodes exchange a Definition. Each distinct set of
// shards is encoded once, and routes refer to it by index.
type encodedDefinition struct {
	Version   uint64           `json:"version"`
	Limits    encodedLimits    `json:"limits"`
	Services  []encodedService `json:"services"`
	ShardSets [][]string       `json:"shard_sets,omitempty"`
	Routes    []encodedRoute   `json:"routes"`
}

type encodedLimits struct {
	HeaderBytes   int64         `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout_ns"`
	IdleTimeout   time.Duration `json:"idle_timeout_ns"`
}

type encodedService struct {
	Name        string `json:"name"`
	HealthPath  string `json:"health_path,omitempty"`
	Connections int    `json:"connections"`

	ColdRate float64 `json:"cold_rate,omitempty"`
}

type encodedRoute struct {
	Name          string         `json:"name"`
	Host          string         `json:"host"`
	PathPrefix    string         `json:"path_prefix"`
	Repeatable    bool           `json:"repeatable,omitempty"`
	Timeout       time.Duration  `json:"timeout_ns"`
	LatencyTarget time.Duration  `json:"aim_ns,omitempty"`
	Attempts      int            `json:"attempts"`
	Priority      int            `json:"priority,omitempty"`
	Homes         []string       `json:"homes,omitempty"`
	Shares        []encodedShare `json:"shares,omitempty"`
	// ShardSet is the index of the route's set in ShardSets plus one. Zero means no shards.
	ShardSet int     `json:"set,omitempty"`
	Top      int     `json:"top,omitempty"`
	Minimum  float64 `json:"minimum_coverage,omitempty"`
}

type encodedShare struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// MarshalJSON implements json.Marshaler.
func (d Definition) MarshalJSON() ([]byte, error) {
	sets := newShardSetIndex()
	encoded := encodedDefinition{
		Version:  d.Version,
		Limits:   encodedLimits(d.Limits),
		Services: make([]encodedService, 0, len(d.Services)),
		Routes:   make([]encodedRoute, 0, len(d.Routes)),
	}
	for _, service := range d.Services {
		encoded.Services = append(encoded.Services, encodedService(service))
	}
	for i := range d.Routes {
		encoded.Routes = append(encoded.Routes, encodeRoute(&d.Routes[i], sets))
	}
	encoded.ShardSets = sets.sets
	return json.Marshal(encoded)
}

func encodeRoute(r *Route, sets *shardSetIndex) encodedRoute {
	encoded := encodedRoute{
		Name:          r.Name,
		Host:          r.Host,
		PathPrefix:    r.PathPrefix,
		Repeatable:    r.Repeatable,
		Timeout:       r.Timeout,
		LatencyTarget: r.LatencyTarget,
		Attempts:      r.Attempts,
		Priority:      r.Priority,
		Homes:         r.Homes,
		Top:           r.Target.Top,
		Minimum:       r.Target.MinimumCoverage,
	}
	for _, share := range r.Target.Shares {
		encoded.Shares = append(encoded.Shares, encodedShare(share))
	}
	if r.Target.IsFanOut() {
		encoded.ShardSet = sets.indexOf(r.Target.Shards) + 1
	}
	return encoded
}

// UnmarshalJSON implements json.Unmarshaler. An invalid shard set is reported with the path of the
// route.
func (d *Definition) UnmarshalJSON(data []byte) error {
	var encoded encodedDefinition
	if err := json.Unmarshal(data, &encoded); err != nil {
		return err
	}
	*d = Definition{
		Version:  encoded.Version,
		Limits:   Limits(encoded.Limits),
		Services: make([]Service, 0, len(encoded.Services)),
		Routes:   make([]Route, 0, len(encoded.Routes)),
	}
	for _, service := range encoded.Services {
		d.Services = append(d.Services, Service(service))
	}
	for i := range encoded.Routes {
		decoded, err := encoded.Routes[i].decode(encoded.ShardSets)
		if err != nil {
			return fmt.Errorf("routes[%d]: %w", i, err)
		}
		d.Routes = append(d.Routes, decoded)
	}
	return nil
}

func (e *encodedRoute) decode(sets [][]string) (Route, error) {
	if e.ShardSet < 0 || e.ShardSet > len(sets) {
		return Route{}, invalid("set", "there are %d, not %d", len(sets), e.ShardSet)
	}
	decoded := Route{
		Name:          e.Name,
		Host:          e.Host,
		PathPrefix:    e.PathPrefix,
		Repeatable:    e.Repeatable,
		Timeout:       e.Timeout,
		LatencyTarget: e.LatencyTarget,
		Attempts:      e.Attempts,
		Priority:      e.Priority,
		Homes:         e.Homes,
		Target:        Target{Top: e.Top, MinimumCoverage: e.Minimum},
	}
	for _, share := range e.Shares {
		decoded.Target.Shares = append(decoded.Target.Shares, Share(share))
	}
	if e.ShardSet > 0 {
		decoded.Target.Shards = sets[e.ShardSet-1]
	}
	return decoded, nil
}
