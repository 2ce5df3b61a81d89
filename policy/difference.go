package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Difference is one field that differs between two configurations.
type Difference struct {
	// Field is the path of the field. List items are identified by name, as in
	// classes[urgent].order or services[search].groups[a].servers[s1].slots.
	Field string `json:"field"`
	// Before is the previous JSON value; empty if the field was added.
	Before json.RawMessage `json:"before,omitempty"`
	// After is the new JSON value; empty if the field was removed.
	After json.RawMessage `json:"after,omitempty"`
}

// String formats the difference on one line.
func (d Difference) String() string {
	switch {
	case d.Before == nil:
		return fmt.Sprintf("+ %s = %s", d.Field, compactJSON(d.After))
	case d.After == nil:
		return fmt.Sprintf("- %s (was %s)", d.Field, compactJSON(d.Before))
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Field, compactJSON(d.Before), compactJSON(d.After))
	}
}

// Abbreviate formats the difference on one line of at most limit bytes.
func (d Difference) Abbreviate(limit int) string { return truncate(d.String(), limit) }

// compactJSON removes insignificant white space from a JSON value.
func compactJSON(value json.RawMessage) string {
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, value); err != nil {
		return string(value)
	}
	return buffer.String()
}

// Compare returns the differences between two configurations, in an order that
// depends only on their content.
func Compare(before, after Config) []Difference {
	comparison := &comparison{differences: []Difference{}}
	compareLists(comparison, "classes", before.Classes, after.Classes, comparison.compareClass)
	compareLists(comparison, "services", before.Services, after.Services, comparison.compareService)
	return comparison.differences
}

type comparison struct{ differences []Difference }

func (c *comparison) compareValue(field string, before, after any) {
	if before == after {
		return
	}
	c.differences = append(c.differences, Difference{Field: field, Before: rawJSON(before), After: rawJSON(after)})
}

func (c *comparison) compareClass(path string, before, after Class) {
	c.compareValue(path+".order", before.Order, after.Order)
	c.compareValue(path+".longest_wait_ms", before.LongestWait, after.LongestWait)
	c.compareValue(path+".deadline_ms", before.Deadline, after.Deadline)
	c.compareValue(path+".minimum_coverage", before.MinimumCoverage, after.MinimumCoverage)
	c.compareValue(path+".hedge_share", before.HedgeShare, after.HedgeShare)
	c.compareValue(path+".headroom", before.Headroom, after.Headroom)
}

func (c *comparison) compareService(path string, before, after Service) {
	c.compareValue(path+".key_space", before.KeySpace, after.KeySpace)
	compareLists(c, path+".groups", before.Groups, after.Groups, c.compareGroup)
}

func (c *comparison) compareGroup(path string, before, after Group) {
	c.compareValue(path+".range", before.Range, after.Range)
	compareLists(c, path+".servers", before.Servers, after.Servers, c.compareServer)
}

func (c *comparison) compareServer(path string, before, after Server) {
	c.compareValue(path+".address", before.Address, after.Address)
	c.compareValue(path+".zone", before.Zone, after.Zone)
	c.compareValue(path+".slots", before.Slots, after.Slots)
	c.compareValue(path+".connections", before.Connections, after.Connections)
}

// compareLists matches the items of two lists by name. Removed items come
// first, then the others in the order of the new list.
func compareLists[T namedItem](c *comparison, path string, before, after []T, compare func(path string, before, after T)) {
	known := make(map[string]T, len(before))
	for _, item := range before {
		known[item.name()] = item
	}
	kept := make(map[string]bool, len(after))
	for _, item := range after {
		kept[item.name()] = true
	}
	for _, item := range before {
		if !kept[item.name()] {
			field := fmt.Sprintf("%s[%s]", path, item.name())
			c.differences = append(c.differences, Difference{Field: field, Before: rawJSON(item)})
		}
	}
	for _, item := range after {
		field := fmt.Sprintf("%s[%s]", path, item.name())
		earlier, found := known[item.name()]
		if !found {
			c.differences = append(c.differences, Difference{Field: field, After: rawJSON(item)})
			continue
		}
		compare(field, earlier, item)
	}
}

// rawJSON encodes a value of this package's types. Encoding cannot fail for a
// valid configuration.
func rawJSON(value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		return json.RawMessage(`null`)
	}
	return encoded
}
