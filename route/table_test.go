package route_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/banksail/banksail/route"
)

func definition() route.Definition {
	return route.Definition{
		Version:  1,
		Services: []route.Service{{Name: "a", Connections: 10}, {Name: "b", Connections: 10}},
		Routes: []route.Route{
			{Name: "short", Host: "Example.com", PathPrefix: "/x/", Timeout: time.Second, Attempts: 1, Target: route.Target{Shares: []route.Share{{Service: "a", Weight: 1}}}},
			{Name: "long", Host: "example.com", PathPrefix: "/x/y/", Timeout: time.Second, Attempts: 1, Repeatable: true, Target: route.Target{Shards: []string{"a", "b"}, Top: 1}},
		},
		Limits: route.Limits{HeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1},
	}
}

func TestMatch(t *testing.T) {
	table, err := route.New(definition())
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ host, path, want string }{
		{"example.com", "/x/1", "short"},
		{"EXAMPLE.com:8080", "/x/y/1", "long"},
		{"example.com", "/x", ""},
		{"example.com", "/x%2fy/", ""},
		{"other.com", "/x/1", ""},
	} {
		got := ""
		if matched := table.Match(test.host, test.path); matched != nil {
			got = matched.Name
		}
		if got != test.want {
			t.Errorf("%s %s: %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	target := route.Target{Shares: []route.Share{{Service: "a", Weight: 1}, {Service: "none", Weight: 0}, {Service: "b", Weight: 3}}}
	counts := make(map[string]int)
	for point := range 1000 {
		counts[target.Pick(float64(point)/1000)]++
	}
	if counts["a"] != 250 || counts["b"] != 750 || counts["none"] != 0 {
		t.Errorf("%v", counts)
	}
}

// A table that is at fault is refused with the name of the field.
func TestInvalidTables(t *testing.T) {
	for field, spoil := range map[string]func(d *route.Definition){
		"services[0].name":          func(d *route.Definition) { d.Services[0].Name = "" },
		"services[1].connections":   func(d *route.Definition) { d.Services[1].Connections = 0 },
		"routes[0].host":            func(d *route.Definition) { d.Routes[0].Host = "" },
		"routes[0].path_prefix":     func(d *route.Definition) { d.Routes[0].PathPrefix = "x" },
		"routes[0].timeout":         func(d *route.Definition) { d.Routes[0].Timeout = 0 },
		"routes[0].attempts":        func(d *route.Definition) { d.Routes[0].Attempts = 0 },
		"routes[0].target":          func(d *route.Definition) { d.Routes[0].Target = route.Target{} },
		"routes[0].shares":          func(d *route.Definition) { d.Routes[0].Target.Shares[0].Weight = 0 },
		"routes[1].repeatable":      func(d *route.Definition) { d.Routes[1].Repeatable = false },
		"routes[1].minimum":         func(d *route.Definition) { d.Routes[1].Target.MinimumCoverage = 2 },
		"routes[1].target":          func(d *route.Definition) { d.Routes[1].Target.Shards[0] = "unlisted" },
		"limits.header_bytes":       func(d *route.Definition) { d.Limits.HeaderBytes = 0 },
		"limits.idle_timeout":       func(d *route.Definition) { d.Limits.IdleTimeout = 0 },
		"routes[1].target: names t": func(d *route.Definition) { d.Routes[1].Target.Shards[0] = "b" },
	} {
		spoilt := definition()
		spoil(&spoilt)
		_, err := route.New(spoilt)
		if !errors.Is(err, route.ErrInvalid) || !strings.Contains(err.Error(), field) {
			t.Errorf("%v, want one that names %s", err, field)
		}
	}
}
