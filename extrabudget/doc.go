// Package extrabudget enforces limits over many nodes without coordination between
// them: on the extra sends to a service in any window, and on the requests to a cold
// server in any second.
//
// Each node counts its own events over a sliding window (Counter, Budget) and uses only
// its portion of the cluster-wide limit (Shares). The package reads no clock, starts no
// goroutines and does no I/O; times are durations since an epoch that the caller chooses,
// and must not decrease.
package extrabudget
