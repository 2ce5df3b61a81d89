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
	off, err := mechanism.Parse("hedges,doubt")
	if err != nil || off != mechanism.Disable(mechanism.Hedging, mechanism.OutageRetention) {
		t.Errorf("two: %v, %v", off, err)
	}
	if off.Enabled(mechanism.Hedging) || off.Enabled(mechanism.OutageRetention) || !off.Enabled(mechanism.SlowServerProbes) {
		t.Error("the wrong mechanisms are off")
	}
	if _, err := mechanism.Parse("hedges,luck"); !errors.Is(err, mechanism.ErrUnknown) || !strings.Contains(err.Error(), `"luck"`) {
		t.Errorf("an unknown one: %v", err)
	}
}

// Every mechanism has a name of its own, by which it can be switched off.
func TestNamesAreUnique(t *testing.T) {
	all := mechanism.Names()
	for number, name := range all {
		off, err := mechanism.Parse(name)
		if name == "" || err != nil || off != mechanism.Disable(mechanism.Mechanism(number)) || mechanism.Mechanism(number).String() != name {
			t.Errorf("mechanism %d, %q: %v, %v", number, name, off, err)
		}
	}
	slices.Sort(all)
	if len(slices.Compact(all)) != len(mechanism.Names()) {
		t.Error("a name stands twice")
	}
}
