// Package store is a client for the platform's key-value service.
//
// The service limits the rate of calls and has outages, and a reply may be lost
// after the change took effect. Conn abstracts from the protocol. Memory is an
// in-memory implementation for tests.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors that every Conn returns; they are wrapped.
var (
	// ErrNotFound means that the record or lease does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrConflict means that the record's current revision is not the base
	// revision of the Put. Nothing changed.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnchanged means that a watch ended without a newer revision.
	ErrUnchanged = errors.New("store: unchanged")
	// ErrRateLimited means that the service rejected the call because of its
	// rate limit. Nothing changed.
	ErrRateLimited = errors.New("store: rate limited")
	// ErrUnavailable means that the service cannot be reached. Nothing changed.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrOutcomeUnknown means that a change was sent but no valid reply was
	// received. The change may have taken effect.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
	// ErrInvalid means that the protocol does not allow a key, lease ID or
	// value. Nothing was sent.
	ErrInvalid = errors.New("store: invalid argument")
	// ErrMalformed means that the service's reply violates the protocol.
	ErrMalformed = errors.New("store: malformed reply")
)

// Record is a stored value and its revision. The revisions of a key increase,
// also across its removal.
type Record struct {
	Value    []byte
	Revision uint64
}

// LeaseID identifies a lease.
type LeaseID string

// Conn is a connection to the key-value service. It is safe for concurrent use.
type Conn interface {
	// Get reads a record. It returns ErrNotFound if the record does not exist.
	Get(ctx context.Context, key string) (Record, error)
	// Put writes a record if its current revision is base, and returns
	// ErrConflict otherwise. A base of zero creates the record. Unless lease is
	// empty, the record is removed when the lease expires or is revoked.
	Put(ctx context.Context, key string, value []byte, base uint64, lease LeaseID) (Record, error)
	// Watch waits until the record's revision is greater than after. It returns
	// ErrUnchanged if that does not happen within wait.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Record, error)
	// Grant creates a lease that expires after timeToLive unless it is renewed.
	Grant(ctx context.Context, timeToLive time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It returns ErrNotFound if the lease has
	// expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its records.
	Revoke(ctx context.Context, lease LeaseID) error
}
