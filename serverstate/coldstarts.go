package serverstate

// startWeight is the weight of a new answer in Starts: some ten servers that start tell
// what to expect of the next one.
const startWeight = 0.1

// ColdStarts is how slow servers were that said that they had just started; the zero value is
// usual.
type ColdStarts struct{ excess float64 }

// Observe notes the slowness of an answer of a server that is cold.
func (s *ColdStarts) Observe(slowness float64) {
	slowness = min(max(slowness, NormalSlowness), MaxSlowness)
	s.excess += startWeight * (slowness - NormalSlowness - s.excess)
}

// ExpectedSlowness is the slowness to be expected of a server that is cold.
func (s *ColdStarts) ExpectedSlowness() float64 { return NormalSlowness + s.excess }
