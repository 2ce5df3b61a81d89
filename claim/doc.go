// Package claim prevents a non-repeatable request from running twice when the
// node that ran it fails.
//
// Before a node runs such a request, it claims the request's ID at a few other
// nodes, the owners of the ID, which are chosen by rendezvous hashing. If the
// node crashes and another node receives a request with the same ID, that node
// claims it at nearly the same owners and learns that another holder has it.
//
// Table is the owner's side and Round the claimant's. Both are deterministic
// and have no goroutines, clock or I/O; times are durations since an epoch that
// the caller chooses.
package claim
