package policy

import (
	"errors"
	"testing"

	"github.com/banksail/banksail/coverage"
)

func TestValidateReportsTheInvalidField(t *testing.T) {
	cases := map[string]struct {
		change func(*Config)
		field  string
	}{
		"class without a name":     {func(c *Config) { c.Classes[0].Name = "" }, "classes[0].name"},
		"two classes of one name":  {func(c *Config) { c.Classes[1].Name = "urgent" }, "classes"},
		"two classes of one order": {func(c *Config) { c.Classes[1].Order = 0 }, "classes"},
		"no deadline":              {func(c *Config) { c.Classes[0].Deadline = 0 }, "classes[0].deadline_ms"},
		"wait over the deadline":   {func(c *Config) { c.Classes[0].LongestWait = 101 }, "classes[0].longest_wait_ms"},
		"coverage over one":        {func(c *Config) { c.Classes[1].MinimumCoverage = 1.1 }, "classes[1].minimum_coverage"},
		"headroom over its bound":  {func(c *Config) { c.Classes[0].Headroom = 0.91 }, "classes[0].headroom"},
		"headroom adds up to all": {func(c *Config) {
			c.Classes[0].Headroom = 0.5
			c.Classes = append(c.Classes, Class{Name: "normal", Order: 5, Deadline: 500, Headroom: 0.5})
		}, "classes"},
		"two services of one name":   {func(c *Config) { c.Services = append(c.Services, c.Services[0]) }, "services"},
		"empty key space":            {func(c *Config) { c.Services[0].KeySpace.End = 0 }, "services[0].key_space.end"},
		"no group":                   {func(c *Config) { c.Services[0].Groups = nil }, "services[0].groups"},
		"group without a server":     {func(c *Config) { c.Services[0].Groups[1].Servers = nil }, "services[0].groups[1].servers"},
		"gap at the start":           {func(c *Config) { c.Services[0].Groups[0].Range.Start = 1 }, "services[0].groups[0].range"},
		"gap between groups":         {func(c *Config) { c.Services[0].Groups[1].Range.Start = 51 }, "services[0].groups[1].range"},
		"overlap":                    {func(c *Config) { c.Services[0].Groups[1].Range.Start = 49 }, "services[0].groups[1].range"},
		"gap at the end":             {func(c *Config) { c.Services[0].Groups[1].Range.End = 99 }, "services[0].groups"},
		"range outside":              {func(c *Config) { c.Services[0].Groups[1].Range.End = 101 }, "services[0].groups[1].range"},
		"reversed range":             {func(c *Config) { c.Services[0].Groups[0].Range = coverage.Range{Start: 9, End: 3} }, "services[0].groups[0].range.end"},
		"same server twice":          {func(c *Config) { c.Services[0].Groups[0].Servers[1].ID = "a1" }, "services[0].groups[0].servers"},
		"host name for an IP number": {func(c *Config) { c.Services[0].Groups[0].Servers[0].Address = "host:80" }, "services[0].groups[0].servers[0].address"},
		"no slots":                   {func(c *Config) { c.Services[0].Groups[0].Servers[0].Slots = 0 }, "services[0].groups[0].servers[0].slots"},
		"server described twice": {func(c *Config) {
			c.Services[0].Groups[1].Servers[0] = Server{ID: "a1", Address: "10.0.0.9:1", Slots: 1, Connections: 1}
		}, "services[0].groups[1].servers[0]"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			config := testConfig()
			test.change(&config)
			var invalid *ValidationError
			if err := Validate(config); !errors.As(err, &invalid) {
				t.Fatalf("got %v, want a ValidationError", err)
			}
			for _, fault := range invalid.Faults {
				if fault.Field == test.field {
					return
				}
			}
			t.Fatalf("got %v, want a fault in %s", invalid.Faults, test.field)
		})
	}
}

func TestValidConfigurationIsAccepted(t *testing.T) {
	if err := Validate(testConfig()); err != nil {
		t.Fatal(err)
	}
	if err := Validate(Config{}); err != nil {
		t.Fatalf("empty configuration: %v", err)
	}
}

func TestApplyReportsTheInvalidChange(t *testing.T) {
	class := testConfig().Classes[0]
	faulty := class
	faulty.Deadline = -1
	group := testConfig().Services[0].Groups[0]
	unknown, empty := group, group
	unknown.Name, empty.Servers = "none", nil
	cases := map[string]struct {
		intent Intent
		field  string
	}{
		"no author":               {Intent{Changes: []Change{{SetClass: &class}}}, "author"},
		"no change":               {Intent{Author: "ann"}, "changes"},
		"empty change":            {Intent{Author: "ann", Changes: []Change{{}}}, "changes[0]"},
		"two changes in one":      {Intent{Author: "ann", Changes: []Change{{SetClass: &class, RemoveClass: "billing"}}}, "changes[0]"},
		"unknown class removed":   {Intent{Author: "ann", Changes: []Change{{RemoveClass: "none"}}}, "changes[0].remove_class"},
		"unknown service removed": {Intent{Author: "ann", Changes: []Change{{RemoveService: "none"}}}, "changes[0].remove_service"},
		"group of no service":     {Intent{Author: "ann", Changes: []Change{{SetGroup: &GroupChange{Service: "none", Group: group}}}}, "changes[0].set_group.service"},
		"unknown group":           {Intent{Author: "ann", Changes: []Change{{SetGroup: &GroupChange{Service: "search", Group: unknown}}}}, "changes[0].set_group.group.name"},
		"faulty group":            {Intent{Author: "ann", Changes: []Change{{SetGroup: &GroupChange{Service: "search", Group: empty}}}}, "changes[0].set_group.group.servers"},
		"faulty class":            {Intent{Author: "ann", Changes: []Change{{SetClass: &class}, {SetClass: &faulty}}}, "changes[1].set_class.deadline_ms"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var invalid *ValidationError
			_, err := Apply(testConfig(), test.intent)
			if !errors.As(err, &invalid) || invalid.Faults[0].Field != test.field {
				t.Fatalf("got %v, want a fault in %s", err, test.field)
			}
		})
	}
}

func TestGroupSplitMustCoverEveryKey(t *testing.T) {
	service := testConfig().Services[0].clone()
	service.Groups = append([]Group{
		{Name: "a-low", Range: coverage.Range{Start: 0, End: 20}, Servers: service.Groups[0].Servers},
		{Name: "a-high", Range: coverage.Range{Start: 20, End: 50}, Servers: service.Groups[0].Servers},
	}, service.Groups[1:]...)
	next, err := Apply(testConfig(), Intent{Author: "ann", Changes: []Change{{SetService: &service}}})
	if err != nil {
		t.Fatal(err)
	}
	if len(next.Services[0].Groups) != 3 {
		t.Fatalf("got %+v", next.Services[0].Groups)
	}
	service.Groups = service.Groups[1:]
	if _, err := Apply(testConfig(), Intent{Author: "ann", Changes: []Change{{SetService: &service}}}); !errors.Is(err, ErrInvalid) {
		t.Fatalf("split that drops keys: got %v, want ErrInvalid", err)
	}
}

func TestGroupChangeReplacesOneGroup(t *testing.T) {
	base := testConfig()
	group := base.Services[0].clone().Groups[0]
	group.Servers[0].Slots++
	next, err := Apply(base, Intent{Author: "ann", Changes: []Change{{SetGroup: &GroupChange{Service: base.Services[0].Name, Group: group}}}})
	if err != nil {
		t.Fatal(err)
	}
	if differences := Compare(base, next); len(differences) != 1 {
		t.Fatalf("got differences %v, want only the slots of one server", differences)
	}
	if differences := Compare(testConfig(), base); len(differences) != 0 {
		t.Fatalf("base changed: %v", differences)
	}
	group.Range.End++
	if _, err := Apply(base, Intent{Author: "ann", Changes: []Change{{SetGroup: &GroupChange{Service: base.Services[0].Name, Group: group}}}}); !errors.Is(err, ErrInvalid) {
		t.Fatalf("range that overlaps the next group: got %v, want ErrInvalid", err)
	}
}

func TestApplyDoesNotModifyBase(t *testing.T) {
	base := testConfig()
	class := base.Classes[0]
	class.Deadline = 70
	if _, err := Apply(base, Intent{Author: "ann", Changes: []Change{{SetClass: &class}, {RemoveService: "search"}}}); err != nil {
		t.Fatal(err)
	}
	if differences := Compare(testConfig(), base); len(differences) != 0 {
		t.Fatalf("base changed: %v", differences)
	}
}

func TestWarnings(t *testing.T) {
	cases := map[string]struct {
		change func(*Config)
		nodes  int
		field  string
	}{
		"class removed":               {func(c *Config) { c.Classes = c.Classes[1:] }, 2, "classes[urgent]"},
		"service removed":             {func(c *Config) { c.Services = nil }, 2, "services[search]"},
		"headroom leaves little":      {func(c *Config) { c.Classes[0].Headroom = 0.6 }, 2, "classes"},
		"much extra load":             {func(c *Config) { c.Classes[0].HedgeShare = 0.5 }, 2, "classes[urgent].hedge_share"},
		"one replica":                 {func(c *Config) { c.Services[0].Groups[0].Servers = c.Services[0].Groups[0].Servers[:1] }, 2, "services[search].groups[a].servers"},
		"connections below slots":     {func(c *Config) { c.Services[0].Groups[0].Servers[0].Connections = 4 }, 2, "services[search].groups[a].servers[a1].connections"},
		"more nodes than connections": {func(*Config) {}, 71, "services[search].groups[a].servers[a1].connections"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			after := testConfig().clone()
			test.change(&after)
			for _, warning := range collectWarnings(testConfig(), after, test.nodes) {
				if warning.Field == test.field {
					return
				}
			}
			t.Fatalf("no warning about %s", test.field)
		})
	}
	if warnings := collectWarnings(testConfig(), testConfig(), 2); len(warnings) != 0 {
		t.Fatalf("got warnings %v, want none", warnings)
	}
}
