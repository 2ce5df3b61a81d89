package coverage_test

import (
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banksail/banksail/coverage"
)

func span(start, end uint64) coverage.Range { return coverage.Range{Start: start, End: end} }

func TestSet(t *testing.T) {
	type ranges = []coverage.Range
	tests := []struct {
		name     string
		added    ranges
		want     ranges
		missing  ranges
		fraction float64
	}{
		{name: "empty", missing: ranges{span(0, 100)}},
		{name: "whole", added: ranges{span(0, 100)}, want: ranges{span(0, 100)}, fraction: 1},
		{name: "adjacent ranges join", added: ranges{span(50, 100), span(0, 50)}, want: ranges{span(0, 100)}, fraction: 1},
		{name: "the same range counts once", added: ranges{span(0, 50), span(0, 50)}, want: ranges{span(0, 50)}, missing: ranges{span(50, 100)}, fraction: 0.5},
		{name: "overlap counts once", added: ranges{span(0, 60), span(40, 80)}, want: ranges{span(0, 80)}, missing: ranges{span(80, 100)}, fraction: 0.8},
		{name: "gap is filled over several", added: ranges{span(0, 10), span(20, 30), span(40, 50), span(5, 45)}, want: ranges{span(0, 50)}, missing: ranges{span(50, 100)}, fraction: 0.5},
		{name: "hole", added: ranges{span(0, 25), span(75, 100)}, want: ranges{span(0, 25), span(75, 100)}, missing: ranges{span(25, 75)}, fraction: 0.5},
		{name: "keys out of the space do not count", added: ranges{span(50, 500)}, want: ranges{span(50, 500)}, missing: ranges{span(0, 50)}, fraction: 0.5},
		{name: "reversed range", added: ranges{span(9, 3)}, missing: ranges{span(0, 100)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var set coverage.Set
			for _, r := range test.added {
				set.Add(r)
			}
			if got := set.Ranges(); !slices.Equal(got, test.want) {
				t.Errorf("ranges %v, want %v", got, test.want)
			}
			if got := set.Missing(span(0, 100)); !slices.Equal(got, test.missing) {
				t.Errorf("missing %v, want %v", got, test.missing)
			}
			if got := set.Fraction(span(0, 100)); got != test.fraction {
				t.Errorf("fraction %v, want %v", got, test.fraction)
			}
		})
	}
}

func TestOneMissingKeyOfLargeSpaceIsPartial(t *testing.T) {
	var set coverage.Set
	space := span(0, 1<<64-1)
	set.Add(span(1, 1<<64-1))
	if set.Fraction(space) >= 1 {
		t.Fatal("fraction of a partial cover is 1")
	}
	set.Add(span(0, 1))
	if set.Fraction(space) != 1 {
		t.Fatal("fraction of a complete cover is not 1")
	}
}

// A Set gives the same results as a table with one entry per key.
func TestSetMatchesReferenceModel(t *testing.T) {
	const keys = 64
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("union, size, missing", prop.ForAll(func(bounds []uint8) bool {
		var set coverage.Set
		var table [keys]bool
		for i := 0; i+1 < len(bounds); i += 2 {
			r := span(uint64(bounds[i]%keys), uint64(bounds[i+1]%keys))
			set.Add(r)
			for key := r.Start; key < r.End; key++ {
				table[key] = true
			}
		}
		var size uint64
		var missing coverage.Set
		for _, r := range set.Missing(span(0, keys)) {
			missing.Add(r)
		}
		for key, covered := range table {
			single := span(uint64(key), uint64(key)+1)
			if covered {
				size++
			}
			if set.Contains(single) != covered || set.Overlaps(single) != covered || missing.Contains(single) == covered {
				return false
			}
		}
		return set.Size() == size && set.Covered(span(0, keys)) == size
	}, gen.SliceOf(gen.UInt8())))
	properties.TestingRun(t)
}
