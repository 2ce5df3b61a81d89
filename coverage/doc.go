// Package coverage represents sets of key ranges and computes the exact fraction
// of a key space that an answer covers.
//
// A Range is a half-open interval of keys. A Set is a union of ranges: a key that
// occurs in several replies counts once, so the fraction stays correct when a shard
// is split or moved while a query runs. A fraction of 1 means that every key is
// covered; rounding never turns a partial fraction into 1.
//
// The package does no I/O, starts no goroutines and reads no clock. It depends on
// no other package of the daemon.
package coverage
