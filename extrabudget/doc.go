// Package extrabudget bounds what many nodes do together without asking each other:
// the extra sends to a service in any window, and the requests to a server that is cold
// in any second.
//
// Each node counts its own part over a sliding window (Counter, Budget) and spends its
// share of what all nodes have (Shares). The package has no clock, goroutine or I/O;
// times are durations since an epoch that the caller picks and never decrease.
package extrabudget
