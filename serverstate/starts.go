package serverstate

// startWeight is the weight of a new answer in Starts: some ten servers that start tell
// what to expect of the next one.
const startWeight = 0.1

// Starts is how slow servers were that said that they had just started; the zero value is
// usual.
type Starts struct{ beyondUsual float64 }

// Take notes the slowness of an answer of a server that is cold.
func (s *Starts) Take(slowness float64) {
	slowness = min(max(slowness, Usual), Most)
	s.beyondUsual += startWeight * (slowness - Usual - s.beyondUsual)
}

// Expected is the slowness to be expected of a server that is cold.
func (s *Starts) Expected() float64 { return Usual + s.beyondUsual }
