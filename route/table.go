package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Table is an immutable version of the routes and services.
type Table struct {
	// Version increases with each new table.
	Version uint64
	// Services maps service names to services.
	Services map[string]Service
	// Limits are the limits on callers' requests.
	Limits Limits

	// byHost maps a host to its routes, sorted by descending length of the path prefix.
	byHost       map[string][]*Route
	definition   Definition
	usedServices []string
}

// Service is a set of interchangeable servers.
type Service struct {
	Name string
	// HealthPath is the URL path of a server's health check.
	HealthPath string
	// Connections is the number of connections that a server accepts from all nodes together.
	Connections int
	// ColdRate limits the requests per second to a server that is warming up. Zero means no
	// limit.
	ColdRate float64
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a request's header and body.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout is the maximum time to receive a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time that a connection may be idle between requests.
	IdleTimeout time.Duration
}

// Route describes how the requests that match it are served.
type Route struct {
	Name string
	// Host is the host name, without a port. It is matched case-insensitively.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Repeatable reports whether a request may be executed more than once.
	Repeatable bool
	// Timeout is the maximum time to serve a request.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer has its full value. Zero means no target.
	LatencyTarget time.Duration
	// Attempts is the maximum number of servers to which one part of a request is sent.
	Attempts int
	// Priority is the rank of the route. Zero is the highest priority.
	Priority int
	// Homes lists the regions in which requests may be served. Empty means all regions.
	Homes  []string
	Target Target
}

// Target says which services serve a route: either one service picked by weight (Shares), or a
// fan-out to all shards (Shards). Exactly one of the two is set.
type Target struct {
	// Shares lists the services of a weighted target.
	Shares []Share
	// Shards names the services of a fan-out. Each receives the request, and the answer merges
	// their parts.
	Shards []string
	// Top is the number of highest-ranked records in the answer of a fan-out.
	Top int
	// MinimumCoverage is the minimum fraction of the shards, from 0 to 1, that an answer must
	// cover.
	MinimumCoverage float64
}

// Share is a service and its weight relative to the other shares.
type Share struct {
	Service string
	Weight  float64
}

// IsFanOut reports whether a request is sent to all shards.
func (t Target) IsFanOut() bool { return len(t.Shards) > 0 }

// ServiceNames returns the names of the services that may serve the route.
func (t Target) ServiceNames() []string {
	if t.IsFanOut() {
		return t.Shards
	}
	names := make([]string, 0, len(t.Shares))
	for _, share := range t.Shares {
		names = append(names, share.Service)
	}
	return names
}

// Pick selects a service by weight. The point is in [0, 1). The target must not be a fan-out.
func (t Target) Pick(point float64) string {
	total := 0.0
	for _, share := range t.Shares {
		total += share.Weight
	}
	remaining := point * total
	for _, share := range t.Shares {
		if remaining < share.Weight {
			return share.Service
		}
		remaining -= share.Weight
	}
	return t.Shares[len(t.Shares)-1].Service
}

// Definition is the content of a Table.
type Definition struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// New validates a definition and returns its table. Its error wraps ErrInvalid and names the invalid
// field.
func New(definition Definition) (*Table, error) {
	sets := definition.deduplicateShards()
	if err := definition.validate(sets); err != nil {
		return nil, err
	}
	t := &Table{
		Version:      definition.Version,
		Services:     make(map[string]Service, len(definition.Services)),
		Limits:       definition.Limits,
		byHost:       make(map[string][]*Route),
		definition:   definition,
		usedServices: definition.usedServices(sets),
	}
	for _, service := range definition.Services {
		t.Services[service.Name] = service
	}
	for i := range definition.Routes {
		r := &definition.Routes[i]
		r.Host = strings.ToLower(r.Host)
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return t, nil
}

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.definition.Routes) }

// Definition returns the definition of the table. The caller must not modify it.
func (t *Table) Definition() Definition { return t.definition }

// Match returns the route of the host with the longest prefix of the path, or nil if no route
// matches.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// CommonHomes returns the regions that all routes of a host with homes have in common. It is empty
// if no route has homes or if they have no region in common.
func (t *Table) CommonHomes(host string) []string {
	var common []string
	for _, r := range t.byHost[hostName(host)] {
		switch {
		case len(r.Homes) == 0:
		case common == nil:
			common = r.Homes
		default:
			common = slices.DeleteFunc(slices.Clone(common), func(home string) bool { return !slices.Contains(r.Homes, home) })
		}
	}
	return common
}

// hostName returns the host in lower case, without its port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// UsedServices returns the sorted names of the services that routes refer to. The caller must not
// modify the slice.
func (t *Table) UsedServices() []string { return t.usedServices }

// usedServices returns the sorted names of the services that routes refer to. The sets are the
// distinct sets of shards of the definition.
func (d *Definition) usedServices(sets [][]string) []string {
	named := make(map[string]struct{})
	for _, set := range sets {
		for _, name := range set {
			named[name] = struct{}{}
		}
	}
	for i := range d.Routes {
		for _, share := range d.Routes[i].Target.Shares {
			named[share.Service] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(named))
}
