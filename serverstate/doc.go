// Package serverstate estimates the state of a server from what a node observes of it: its
// slowness relative to the typical latency, its load, whether it sheds load, whether it is so
// slow that it is only probed, and whether it has just started.
//
// The package uses no clock, goroutines or I/O. Times are durations since an epoch that the
// caller chooses, and never decrease. An Estimate is not safe for concurrent use.
package serverstate
