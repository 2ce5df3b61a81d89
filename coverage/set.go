package coverage

import "sort"

// Set is a union of ranges. The zero Set is empty and ready for use.
//
// A Set is not safe for concurrent use.
type Set struct {
	// ranges is sorted; its elements are neither overlapping nor adjacent.
	ranges []Range
}

// Add adds every key of r to the set and reports whether the set grew. An invalid
// range contains no keys and is ignored.
func (s *Set) Add(r Range) bool {
	if r.Size() == 0 || s.Contains(r) {
		return false
	}
	first := sort.Search(len(s.ranges), func(i int) bool { return s.ranges[i].End >= r.Start })
	last := first
	for last < len(s.ranges) && s.ranges[last].Start <= r.End {
		r.Start = min(r.Start, s.ranges[last].Start)
		r.End = max(r.End, s.ranges[last].End)
		last++
	}
	s.replace(first, last, r)
	return true
}

// replace replaces the ranges [first, last) with r.
func (s *Set) replace(first, last int, r Range) {
	if first == last {
		s.ranges = append(s.ranges, Range{})
		copy(s.ranges[first+1:], s.ranges[first:])
		s.ranges[first] = r
		return
	}
	s.ranges[first] = r
	s.ranges = append(s.ranges[:first+1], s.ranges[last:]...)
}

// Contains reports whether every key of r is in the set. It returns true for an
// invalid range, which contains no keys.
func (s *Set) Contains(r Range) bool {
	if r.Size() == 0 {
		return true
	}
	i := sort.Search(len(s.ranges), func(i int) bool { return s.ranges[i].End > r.Start })
	return i < len(s.ranges) && s.ranges[i].Contains(r)
}

// Overlaps reports whether any key of r is in the set.
func (s *Set) Overlaps(r Range) bool {
	i := sort.Search(len(s.ranges), func(i int) bool { return s.ranges[i].End > r.Start })
	return i < len(s.ranges) && s.ranges[i].Start < r.End && r.Size() > 0
}

// Size returns the number of keys in the set.
func (s *Set) Size() uint64 {
	var size uint64
	for _, r := range s.ranges {
		size += r.Size()
	}
	return size
}

// Covered returns the number of keys of space that are in the set.
func (s *Set) Covered(space Range) uint64 {
	var covered uint64
	for _, r := range s.ranges {
		if shared, ok := r.Intersect(space); ok {
			covered += shared.Size()
		}
	}
	return covered
}

// Fraction returns the fraction of space that is in the set. It is 1 if and only if
// all of space is in the set, and 0 for an empty space.
func (s *Set) Fraction(space Range) float64 {
	return Fraction(s.Covered(space), space.Size())
}

// Fraction returns part divided by whole. It is 1 if and only if part is at least
// whole, and 0 if whole is 0.
func Fraction(part, whole uint64) float64 {
	switch {
	case whole == 0:
		return 0
	case part >= whole:
		return 1
	default:
		return min(float64(part)/float64(whole), largestPartial)
	}
}

// largestPartial is the largest float64 below 1. It keeps a partial fraction of a large
// space from being rounded to 1.
const largestPartial = 1 - 1.0/(1<<53)

// Missing returns the ranges of space that are not in the set, in ascending order.
func (s *Set) Missing(space Range) []Range {
	var missing []Range
	start := space.Start
	for _, r := range s.ranges {
		if r.End <= start {
			continue
		}
		if r.Start >= space.End {
			break
		}
		if r.Start > start {
			missing = append(missing, Range{Start: start, End: r.Start})
		}
		start = r.End
	}
	if start < space.End {
		missing = append(missing, Range{Start: start, End: space.End})
	}
	return missing
}

// Ranges returns the set as a sorted list of disjoint, non-adjacent ranges. The caller
// owns the result.
func (s *Set) Ranges() []Range {
	return append([]Range(nil), s.ranges...)
}

// Reset empties the set and keeps the allocated memory.
func (s *Set) Reset() {
	s.ranges = s.ranges[:0]
}
