package route_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
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
			t.Errorf("%s %s: got route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	target := route.Target{Shares: []route.Share{{Service: "a", Weight: 1}, {Service: "none", Weight: 0}, {Service: "b", Weight: 3}}}
	counts := make(map[string]int)
	for point := range 1000 {
		counts[target.Pick(float64(point)/1000)]++
	}
	if counts["a"] != 250 || counts["b"] != 750 || counts["none"] != 0 {
		t.Errorf("got counts %v, want a: 250, b: 750, none: 0", counts)
	}
}

// New rejects an invalid definition with an error that names the field.
func TestNewRejectsInvalidDefinitions(t *testing.T) {
	for field, corrupt := range map[string]func(d *route.Definition){
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
		invalid := definition()
		corrupt(&invalid)
		_, err := route.New(invalid)
		if !errors.Is(err, route.ErrInvalid) || !strings.Contains(err.Error(), field) {
			t.Errorf("got error %v, want one that names %s", err, field)
		}
	}
}

// A definition is unchanged by encoding and decoding, each set of shards is encoded only once, and
// routes with equal sets share one slice.
func TestDefinitionEncodingSharesShardSets(t *testing.T) {
	shards := make([]string, 90)
	definition := route.Definition{Version: 7, Limits: route.Limits{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4}}
	for i := range shards {
		shards[i] = fmt.Sprintf("shard-number-%d", i)
		definition.Services = append(definition.Services, route.Service{Name: shards[i], HealthPath: "/h", Connections: 5})
	}
	for i := range 500 {
		definition.Routes = append(definition.Routes, route.Route{
			Name: fmt.Sprint("r", i), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), Repeatable: true, Timeout: 1, LatencyTarget: 2, Attempts: 3, Priority: 4,
			Target: route.Target{Shards: slices.Clone(shards), Top: 5, MinimumCoverage: 0.5},
		})
	}
	definition.Routes = append(definition.Routes, route.Route{
		Name: "single", Host: "h", PathPrefix: "/s/", Timeout: 1, Attempts: 1,
		Target: route.Target{Shares: []route.Share{{Service: shards[0], Weight: 2}}},
	})
	encoded, err := json.Marshal(definition)
	if err != nil {
		t.Fatal(err)
	}
	if shardBytes := 500 * len(shards) * len(shards[0]); len(encoded) > shardBytes/4 {
		t.Errorf("encoding has %d bytes for 500 routes with %d bytes of shards", len(encoded), shardBytes)
	}
	var decoded route.Definition
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, definition) {
		t.Error("decoded definition differs from the original")
	}
	table, err := route.New(definition)
	if err != nil {
		t.Fatal(err)
	}
	first, last := table.Match("h", "/0/x"), table.Match("h", "/499/x")
	if &first.Target.Shards[0] != &last.Target.Shards[0] {
		t.Error("routes with equal shards do not share one slice")
	}
	if got := table.UsedServices(); len(got) != len(shards) {
		t.Errorf("got %d used services, want %d", len(got), len(shards))
	}
	if err := json.Unmarshal([]byte(`{"routes":[{"set":1}]}`), &decoded); !errors.Is(err, route.ErrInvalid) || !strings.Contains(err.Error(), "routes[0]") {
		t.Errorf("unknown shard set: got error %v", err)
	}
}
