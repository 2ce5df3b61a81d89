// Package snapshot keeps track of which index snapshots the servers of a
// service are known to hold, and chooses the one that a query pins: the newest
// one that every group can serve, as far as is known.
//
// Knowledge is a hint. A server may have dropped a snapshot since, so whoever
// asks a server must still check that the reply names the pinned snapshot; a
// reply that says the snapshot is unknown goes to ServerSnapshots.RecordMissing.
//
// A choice costs time in proportion to the number of distinct snapshots, not to
// the number of servers: counts per group are kept as knowledge changes.
//
// The package has no I/O, clock or goroutine. Its types are not safe for
// concurrent use.
package snapshot
