package gateway

import (
	"testing"

	"github.com/banksail/banksail/routing"
)

// Servers may send more load fields than are read: a fourth is the time that requests take.
func TestParseLoadIgnoresExtraFields(t *testing.T) {
	want := routing.Load{Running: 1, Waiting: 4, Slots: 2}
	for _, value := range []string{"1,4,2", "1, 4, 2", "1,4,2,130", "1,4,2,130,x"} {
		if got, known := parseLoad(value); !known || got != want {
			t.Errorf("%q: got %v, known %v", value, got, known)
		}
	}
	for _, value := range []string{"", "1,4", "1,4,x", "1,-4,2"} {
		if got, known := parseLoad(value); known {
			t.Errorf("%q: got %v, want no load", value, got)
		}
	}
}
