package serverstate

// startWeight is the weight of a new answer in ColdStarts: about ten starting servers determine
// the slowness expected of the next one.
const startWeight = 0.1

// ColdStarts is the average slowness of servers that reported to be cold; the zero value is
// NormalSlowness.
type ColdStarts struct{ excess float64 }

// Observe records the slowness of an answer of a cold server.
func (s *ColdStarts) Observe(slowness float64) {
	slowness = min(max(slowness, NormalSlowness), MaxSlowness)
	s.excess += startWeight * (slowness - NormalSlowness - s.excess)
}

// ExpectedSlowness returns the slowness to expect of a cold server.
func (s *ColdStarts) ExpectedSlowness() float64 { return NormalSlowness + s.excess }
