package coverage_test

import (
	"fmt"

	"github.com/banksail/banksail/coverage"
)

func ExampleSet() {
	space := coverage.Range{Start: 0, End: 1000}
	var covered coverage.Set
	covered.Add(coverage.Range{Start: 0, End: 250})
	covered.Add(coverage.Range{Start: 200, End: 600}) // overlaps because a shard was split during the query
	fmt.Println(covered.Fraction(space), covered.Missing(space))
	// Output: 0.6 [[600, 1000)]
}
