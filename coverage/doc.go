// Package coverage holds key ranges and their union, from which the true
// fraction of a key space that an answer covers is computed.
//
// A Range is a half-open interval of keys. A Set is a union of ranges: keys
// that two replies both hold count once, so the fraction stays true when a
// shard is split or moved while a query runs. A fraction of 1 means that every
// key is there; rounding never makes a partial fraction 1.
//
// The package has no I/O, clock or goroutine and needs no other package of the
// daemon.
package coverage
