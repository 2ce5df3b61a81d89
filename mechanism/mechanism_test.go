package mechanism_test

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/banksail/banksail/mechanism"
)

func TestParse(t *testing.T) {
	none, err := mechanism.Parse("")
	if err != nil || none != 0 {
		t.Errorf("empty list: Disabled %v, error %v; want neither", none, err)
	}
	disabled, err := mechanism.Parse("hedges,doubt")
	if err != nil || disabled != mechanism.Disable(mechanism.Hedging, mechanism.OutageRetention) {
		t.Errorf("two names: Disabled %v, error %v", disabled, err)
	}
	if disabled.Enabled(mechanism.Hedging) || disabled.Enabled(mechanism.OutageRetention) || !disabled.Enabled(mechanism.SlowServerProbes) {
		t.Error("Enabled does not match the parsed names")
	}
	if _, err := mechanism.Parse("hedges,luck"); !errors.Is(err, mechanism.ErrUnknown) || !strings.Contains(err.Error(), `"luck"`) {
		t.Errorf("unknown name: error %v, want ErrUnknown with the name", err)
	}
}

// Every mechanism must have a unique name by which it can be disabled.
func TestNamesAreUnique(t *testing.T) {
	all := mechanism.Names()
	for i, name := range all {
		disabled, err := mechanism.Parse(name)
		if name == "" || err != nil || disabled != mechanism.Disable(mechanism.Mechanism(i)) || mechanism.Mechanism(i).String() != name {
			t.Errorf("mechanism %d with name %q: Disabled %v, error %v", i, name, disabled, err)
		}
	}
	slices.Sort(all)
	if len(slices.Compact(all)) != len(mechanism.Names()) {
		t.Error("names are not unique")
	}
}
