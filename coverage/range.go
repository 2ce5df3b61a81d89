package coverage

import (
	"errors"
	"fmt"
)

// ErrInvalidRange is returned for a range whose end is not greater than its start.
var ErrInvalidRange = errors.New("coverage: range end must be greater than its start")

// Range is a half-open interval [Start, End) of a service's key space.
type Range struct {
	// Start is the first key of the range.
	Start uint64 `json:"start"`
	// End is the first key after the range.
	End uint64 `json:"end" validate:"gtfield=Start"`
}

// Validate returns an error that wraps ErrInvalidRange if the range is empty or reversed.
func (r Range) Validate() error {
	if r.End <= r.Start {
		return fmt.Errorf("%w: [%d, %d)", ErrInvalidRange, r.Start, r.End)
	}
	return nil
}

// Size returns the number of keys in the range; zero for an invalid range.
func (r Range) Size() uint64 {
	if r.End <= r.Start {
		return 0
	}
	return r.End - r.Start
}

// Contains reports whether every key of other is in r.
func (r Range) Contains(other Range) bool {
	return r.Start <= other.Start && other.End <= r.End
}

// Intersect returns the keys that are in both ranges; ok is false if there are none.
func (r Range) Intersect(other Range) (shared Range, ok bool) {
	shared = Range{Start: max(r.Start, other.Start), End: min(r.End, other.End)}
	return shared, shared.Start < shared.End
}

// String formats the range in interval notation.
func (r Range) String() string {
	return fmt.Sprintf("[%d, %d)", r.Start, r.End)
}
