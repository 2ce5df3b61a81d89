// Package snapshot tracks which index snapshots the servers of a service are
// known to hold, and chooses the one that a query is pinned to: the newest that
// every group can serve, as far as is known.
//
// What is known is only a hint, because a server may have dropped a snapshot in
// the meantime. The sender of a sub-request must therefore check that the reply
// names the pinned snapshot, and pass a reply that says the snapshot is unknown
// to ServerSnapshots.RecordMissing.
//
// The cost of a choice is proportional to the number of distinct snapshots, not
// to the number of servers, because counts per group are updated incrementally.
//
// The package has no I/O, clock or goroutines. Its types are not safe for
// concurrent use.
package snapshot
