package cluster

// stream identifies the purpose of a random draw, so that draws for different
// purposes are independent.
type stream uint64

const (
	streamArrival stream = iota + 1
	streamThinning
	streamNode
	streamService
	streamNetwork
	streamConfiguration
)

// draw returns a uniform number in [0, 1) that depends only on its arguments. Draws
// are hashes rather than a sequence, so that policies that act in a different
// order still get the same arrivals and service times.
func draw(seed uint64, purpose stream, a, b, c uint64) float64 {
	state := mix(seed ^ mix(uint64(purpose)))
	state = mix(state ^ a)
	state = mix(state ^ b)
	state = mix(state ^ c)
	const mantissaBits = 53
	return float64(state>>(64-mantissaBits)) / (1 << mantissaBits)
}

// mix is the finaliser of the SplitMix64 generator.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9
	value = (value ^ (value >> 27)) * 0x94d049bb133111eb
	return value ^ (value >> 31)
}
