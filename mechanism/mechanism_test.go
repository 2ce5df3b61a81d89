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
		t.Errorf("nothing: %v, %v", none, err)
	}
	disabled, err := mechanism.Parse("hedges,doubt")
	if err != nil || disabled != mechanism.Disable(mechanism.Hedging, mechanism.OutageRetention) {
		t.Errorf("two: %v, %v", disabled, err)
	}
	if disabled.Enabled(mechanism.Hedging) || disabled.Enabled(mechanism.OutageRetention) || !disabled.Enabled(mechanism.SlowServerProbes) {
		t.Error("the wrong mechanisms are off")
	}
	if _, err := mechanism.Parse("hedges,luck"); !errors.Is(err, mechanism.ErrUnknown) || !strings.Contains(err.Error(), `"luck"`) {
		t.Errorf("an unknown one: %v", err)
	}
}

// Every mechanism has a name of its own, by which it can be switched off.
func TestNamesAreUnique(t *testing.T) {
	all := mechanism.Names()
	for i, name := range all {
		disabled, err := mechanism.Parse(name)
		if name == "" || err != nil || disabled != mechanism.Disable(mechanism.Mechanism(i)) || mechanism.Mechanism(i).String() != name {
			t.Errorf("mechanism %d, %q: %v, %v", i, name, disabled, err)
		}
	}
	slices.Sort(all)
	if len(slices.Compact(all)) != len(mechanism.Names()) {
		t.Error("a name stands twice")
	}
}
