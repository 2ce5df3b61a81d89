package discovery

import (
	"context"
	"errors"
	"time"

	"github.com/banksail/banksail/route"
)

// Errors that a Source returns, possibly wrapped.
var (
	// ErrHistoryGone: the changes after the position are no longer available, or the position
	// does not exist because the registry was restored from a backup.
	ErrHistoryGone = errors.New("discovery: history is no longer available")
	// ErrUnavailable: the registry did not answer, or rejected the call.
	ErrUnavailable = errors.New("discovery: registry unavailable")
)

// Source is a registry of servers, nodes and tables. It may be slow, down or
// unreachable. Its answers carry a revision.
type Source interface {
	// List reads all entries.
	List(ctx context.Context) (Listing, error)
	// Changes waits, for at most wait, for changes after the position. It fails with
	// ErrHistoryGone if the registry is in another epoch, where the revision has no meaning.
	Changes(ctx context.Context, after Position, wait time.Duration) (Changes, error)
}

// Listing is the complete content of a registry. Entries may be newer than its revision.
type Listing struct {
	Epoch    Epoch
	Revision Revision
	Servers  []Entry[Server]
	Nodes    []Entry[Node]
	// Table is nil if there is none, or none that is valid.
	Table *route.Table
	// Directives are those in force, identified by their keys.
	Directives []Entry[Directive]
	// Invalid lists the entries that could not be decoded; their last valid values are kept.
	Invalid []InvalidEntry
	// Partial, Continuous and Relayed are false and the ages nil: a listing is complete, and a
	// registry reports neither its own outages nor the times of writes. The fields are here so
	// that a Listing converts to Changes.
	Partial, Continuous, Relayed bool
	MaxOrderAges, MinOrderAges   map[string]time.Duration
}

// Changes is the ordered list of changes up to a revision.
type Changes struct {
	Epoch    Epoch
	Revision Revision
	Servers  []Entry[Server]
	Nodes    []Entry[Node]
	Table    *route.Table
	// Directives are those that were written or removed.
	Directives []Entry[Directive]
	Invalid    []InvalidEntry
	// Partial is set when the answer had no room for all changes: later ones may exist, so it
	// does not describe the current state.
	Partial bool
	// Continuous is set when the sender was in contact with the registry without a gap:
	// removed entries are then gone, and did not merely expire during an outage.
	Continuous bool
	// Relayed is set when another node sent the changes. MaxOrderAges and MinOrderAges are
	// then upper and lower bounds of the ages of roll-out orders, as far as that node knows them.
	Relayed                    bool
	MaxOrderAges, MinOrderAges map[string]time.Duration
}

// Position returns the position up to which the changes go.
func (c Changes) Position() Position { return Position{Epoch: c.Epoch, Revision: c.Revision} }

// positionAt returns the position of an entry with the given revision.
func (c Changes) positionAt(revision Revision) Position {
	return Position{Epoch: c.Epoch, Revision: revision}
}

// Entry is a value with the revision that wrote it. Gone entries were removed and have only an ID.
type Entry[T any] struct {
	ID       string
	Revision Revision
	Gone     bool
	Value    T
}

// InvalidEntry is an entry that cannot be decoded; its last valid value is kept.
type InvalidEntry struct {
	Name string
	Err  error
}

// Registrar registers this node in a registry. An entry is removed when its lease expires.
// Leases indicate liveness only; no safety property depends on them.
type Registrar interface {
	// Register writes the entry under a new lease with the given time to live.
	Register(ctx context.Context, node Node, timeToLive time.Duration) (Lease, error)
}

// Lease is the lease of a node's entry.
type Lease interface {
	// Renew extends the lease; ErrLeaseExpired means that the entry was removed with it.
	Renew(ctx context.Context) error
	// Revoke ends the lease, which removes the entry.
	Revoke(ctx context.Context) error
}

// ErrLeaseExpired is returned for a lease that has expired or was revoked.
var ErrLeaseExpired = errors.New("discovery: lease has expired")
