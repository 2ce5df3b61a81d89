package discovery

import (
	"context"
	"errors"
	"time"

	"github.com/banksail/banksail/route"
)

// Errors of a Source, wrapped in its own.
var (
	// ErrHistoryGone: the changes after the position are not kept any more, or have not
	// happened, as the registry has come back from a copy.
	ErrHistoryGone = errors.New("discovery: history is gone")
	// ErrUnavailable: the registry gave no answer, or refused to.
	ErrUnavailable = errors.New("discovery: registry unavailable")
)

// Source is a registry of servers, nodes and tables. It may be slow, down or
// cut off; its answers tell a revision.
type Source interface {
	// List reads everything.
	List(ctx context.Context) (Listing, error)
	// Changes waits for changes after the position, no longer than wait. Where the registry is
	// in another epoch it fails with ErrHistoryGone, as revisions then say nothing.
	Changes(ctx context.Context, after Position, wait time.Duration) (Changes, error)
}

// Listing is all that a registry holds. Entries may be newer than its revision.
type Listing struct {
	Epoch    Epoch
	Revision Revision
	Servers  []Entry[Server]
	Nodes    []Entry[Node]
	// Table is nil when there is none, or none that is valid.
	Table *route.Table
	// Directives are those in force, by their keys.
	Directives []Entry[Directive]
	// Invalid lists the entries that could not be read; they count as kept.
	Invalid []InvalidEntry
	// Partial, Certain and Relayed are false, and the ages are nil: a listing is whole, and
	// a registry tells neither whether it was away nor when it was written to.
	Partial, Continuous, Relayed bool
	MaxOrderAges, MinOrderAges   map[string]time.Duration
}

// Changes is what changed up to a revision, in order.
type Changes struct {
	Epoch    Epoch
	Revision Revision
	Servers  []Entry[Server]
	Nodes    []Entry[Node]
	Table    *route.Table
	// Directives are those that were written, or taken back.
	Directives []Entry[Directive]
	Invalid    []InvalidEntry
	// Partial says that there may be later changes, which this answer has no room for: it
	// is no word of what there is now.
	Partial bool
	// Continuous says that the registry was heard all along by whoever tells this: entries
	// that went are gone, and have not only lapsed while it was away.
	Continuous bool
	// Relayed says that another node tells this, and MaxOrderAges and MinOrderAges how old the
	// orders of roll-outs are at most and at least, as far as that one knows.
	Relayed                    bool
	MaxOrderAges, MinOrderAges map[string]time.Duration
}

// Position is up to where the changes go.
func (c Changes) Position() Position { return Position{Epoch: c.Epoch, Revision: c.Revision} }

// positionAt is the position of an entry of the changes.
func (c Changes) positionAt(revision Revision) Position {
	return Position{Epoch: c.Epoch, Revision: revision}
}

// Entry is a value with the revision that wrote it. Gone entries have only an ID.
type Entry[T any] struct {
	ID       string
	Revision Revision
	Gone     bool
	Value    T
}

// InvalidEntry is one that can't be read; what was known before stays.
type InvalidEntry struct {
	Name string
	Err  error
}

// Registrar keeps this node's own entry in a registry. An entry goes when its
// lease does; leases are for liveness only, and nothing safe rests on them.
type Registrar interface {
	// Register writes the entry under a new lease of the given time to live.
	Register(ctx context.Context, node Node, timeToLive time.Duration) (Lease, error)
}

// Lease holds a node's entry.
type Lease interface {
	// Renew extends the lease; ErrLeaseExpired says that the entry went with it.
	Renew(ctx context.Context) error
	// Revoke ends the lease and the entry with it.
	Revoke(ctx context.Context) error
}

// ErrLeaseExpired is returned for a lease that has ended.
var ErrLeaseExpired = errors.New("discovery: lease is over")
