package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Table is one version of the routes and services.
type Table struct {
	// Version orders tables; a later one has a higher number.
	Version uint64
	// Services are by name.
	Services map[string]Service
	// Limits bound what a caller may send.
	Limits Limits

	// byHost holds the routes of a host, those with the longest prefix first.
	byHost       map[string][]*Route
	definition   Definition
	usedServices []string
}

// Service is a set of servers, each of which answers as well as another.
type Service struct {
	Name string
	// HealthPath is where a server tells its health.
	HealthPath string
	// Connections is the number that each server accepts from all nodes together.
	Connections int
	// ColdRate is the number of requests a second that a server bears while it is cold;
	// zero is no bound.
	ColdRate float64
}

// Limits bound a caller's requests.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest that are accepted.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds how long a header may take to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may rest between requests.
	IdleTimeout time.Duration
}

// Route is what is promised to the requests that match it.
type Route struct {
	Name string
	// Host is matched without its port, in lower case.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Repeatable says that a request may run more than once.
	Repeatable bool
	// Timeout is how long a request may be held.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is worth most; zero is none.
	LatencyTarget time.Duration
	// Attempts is the number of servers that may be asked for one part of a request.
	Attempts int
	// Priority ranks the route; zero is the most urgent.
	Priority int
	// Homes are the regions in which requests may be served; none is everywhere.
	Homes  []string
	Target Target
}

// Target is what answers a route: one of several services by weight, or a
// server of each of several shards.
type Target struct {
	// Shares is set unless Shards is.
	Shares []Share
	// Shards names the services of which each is asked, and of which the answer
	// merges the parts.
	Shards []string
	// Top is the number of the greatest records that an answer holds.
	Top int
	// MinimumCoverage is the least part of the shards that makes an answer.
	MinimumCoverage float64
}

// Share is a service with its weight among others.
type Share struct {
	Service string
	Weight  float64
}

// IsFanOut reports whether every shard is asked.
func (t Target) IsFanOut() bool { return len(t.Shards) > 0 }

// ServiceNames lists the services that may answer.
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

// Pick chooses a service by weight; point lies in [0, 1).
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

// Definition is what a table is made of.
type Definition struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// New returns the table of a definition, or an error that names the field at
// fault; it wraps ErrInvalid.
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

// Len is the number of routes.
func (t *Table) Len() int { return len(t.definition.Routes) }

// Definition is what the table was made of; it must not be changed.
func (t *Table) Definition() Definition { return t.definition }

// Match finds the route of a request: of the host's routes the one with the
// longest prefix that begins the path. It is nil when there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// CommonHomes lists the regions in which every route of a host that has homes may be served;
// none where no route has any, or no region suits all.
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

// hostName is the host without its port, in lower case.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// UsedServices lists the services that a route names, sorted. The list must not
// be changed.
func (t *Table) UsedServices() []string { return t.usedServices }

// used lists the services that a route names, sorted; sets are its sets of shards.
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
