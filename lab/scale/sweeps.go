package scale

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrNoSweep is returned when no sweep has a wanted name.
var ErrNoSweep = errors.New("scale: no such sweep")

// Sweeps lists all sweeps, in the order of the page of capacity.
func Sweeps() []Sweep {
	return slices.Concat(
		dispatchSweeps(), exchangeSweeps(), healthSweeps(), connectionSweeps(), shareSweeps(), ownerSweeps(),
		membershipSweeps(), outageSweeps(), recordSweeps(), spreadSweeps(),
	)
}

// Select keeps the sweeps whose names start with one of the prefixes, which are
// separated by commas; none keeps all.
func Select(sweeps []Sweep, prefixes string) ([]Sweep, error) {
	if prefixes == "" {
		return sweeps, nil
	}
	var selected []Sweep
	for _, prefix := range strings.Split(prefixes, ",") {
		found := false
		for _, sweep := range sweeps {
			if strings.HasPrefix(sweep.Name, prefix) {
				found = true
				selected = append(selected, sweep)
			}
		}
		if !found {
			return nil, fmt.Errorf("%w: %q", ErrNoSweep, prefix)
		}
	}
	return selected, nil
}
