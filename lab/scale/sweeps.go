package scale

// Sweeps lists all sweeps, in the order of the page of capacity.
func Sweeps() []Sweep {
	return dispatchSweeps()
}
