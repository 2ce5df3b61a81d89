// Package store is the client towards the platform's small key-value service.
//
// The service is rate-limited and has outages, and a reply may be lost after
// the change took effect. Conn hides its protocol; Memory in this package is
// the in-memory twin for tests.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors that every Conn returns, wrapped.
var (
	// ErrNotFound: the record or lease does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrConflict: the record's revision is not the base of the swap; nothing changed.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnchanged: a watch ended without a newer revision.
	ErrUnchanged = errors.New("store: unchanged")
	// ErrRateLimited: the service refused for its rate; nothing changed.
	ErrRateLimited = errors.New("store: rate limited")
	// ErrUnavailable: the service can't be reached; nothing changed.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrOutcomeUnknown: a change was sent and no reply came; it may be in effect.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
	// ErrInvalid: the protocol can't carry a key, a lease's ID or a value; nothing
	// was sent.
	ErrInvalid = errors.New("store: invalid argument")
	// ErrMalformed: the service's reply does not follow its protocol.
	ErrMalformed = errors.New("store: malformed reply")
)

// Record is a stored value with its revision. Revisions of a key only grow.
type Record struct {
	Value    []byte
	Revision uint64
}

// LeaseID names a lease.
type LeaseID string

// Conn is a connection to the key-value service. Its methods may be called
// from several goroutines.
type Conn interface {
	// Get reads a record.
	Get(ctx context.Context, key string) (Record, error)
	// Put swaps a record whose revision is base; base zero creates it. The
	// record goes away with the lease unless lease is empty.
	Put(ctx context.Context, key string, value []byte, base uint64, lease LeaseID) (Record, error)
	// Watch waits until the record's revision is greater than after, at most wait.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Record, error)
	// Grant creates a lease.
	Grant(ctx context.Context, timeToLive time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; ErrNotFound means that it has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease.
	Revoke(ctx context.Context, lease LeaseID) error
}
