// Package claim lets a not-repeatable request outlive the node that ran it.
//
// Before a node runs such a request it claims the request's ID at a few other
// nodes, its owners, picked by rendezvous hashing. When the node dies, whoever
// is asked to run the same ID again claims it at nearly the same owners, and is
// told that it is held.
//
// Table is the owners' side, Round the claimant's. Both are pure: no
// goroutine, clock or I/O; times are durations since an epoch of the caller's.
package claim
