package coverage

import "sort"

// Set is a union of ranges. The zero Set is empty and ready for use.
//
// A Set is not safe for concurrent use.
type Set struct {
	// ranges are disjoint, not adjacent, and sorted.
	ranges []Range
}

// Add puts every key of r into the set. It reports whether the set grew.
// An invalid range holds no key and is ignored.
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

// replace puts r in the place of the ranges from first to before last.
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

// Contains reports whether every key of r is in the set. It is true for an
// invalid range, which holds no key.
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

// Size is the number of keys in the set.
func (s *Set) Size() uint64 {
	var size uint64
	for _, r := range s.ranges {
		size += r.Size()
	}
	return size
}

// Covered is the number of keys of space that are in the set.
func (s *Set) Covered(space Range) uint64 {
	var covered uint64
	for _, r := range s.ranges {
		if shared, ok := r.Intersect(space); ok {
			covered += shared.Size()
		}
	}
	return covered
}

// Fraction is the share of space that is in the set. It is 1 exactly when all
// of space is in the set, and 0 for an empty space.
func (s *Set) Fraction(space Range) float64 {
	return Fraction(s.Covered(space), space.Size())
}

// Fraction is part divided by whole. It is 1 exactly when part reaches whole,
// and 0 for an empty whole.
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

// largestPartial is the greatest float64 below 1: a partial fraction of a large
// space must not round to 1.
const largestPartial = 1 - 1.0/(1<<53)

// Missing lists the ranges of space that are not in the set, sorted.
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

// Ranges lists the set as disjoint, sorted ranges of greatest length. The
// caller owns the result.
func (s *Set) Ranges() []Range {
	return append([]Range(nil), s.ranges...)
}

// Reset empties the set and keeps its memory.
func (s *Set) Reset() {
	s.ranges = s.ranges[:0]
}
