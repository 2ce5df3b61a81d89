// Package serverstate holds what a node believes of a server from what it sees of it: how
// slow it is against what is usual, what it has in hand, whether it shed, is slow enough to
// be probed only, or has just started.
//
// It has no clock, goroutine or I/O; times are durations since an epoch that the caller
// picks and never decrease. A Belief is not safe for concurrent use.
package serverstate
