package rollout

import (
	"cmp"
	"time"
)

// Order is an operator's request to move a service's traffic to servers of one version.
type Order struct {
	// Target is the version.
	Target string `json:"target,omitempty"`
	// Duration is the time from the order until its deadline.
	Duration time.Duration `json:"duration_ns,omitempty"`
	// Fault names what is wrong with the order; empty is nothing. Such an order ends at
	// once.
	Fault string `json:"fault,omitempty"`
}

// Phase is how far a roll-out has come.
type Phase string

// The phases.
const (
	// Running is that the target gets what the nodes' exposure allows.
	Running Phase = "running"
	// Moving is that the target gets all new requests, and the versions before it none.
	Moving Phase = "moving"
	// Completed is the same, for good.
	Completed Phase = "completed"
	// RolledBack is that the target gets nothing, for good.
	RolledBack Phase = "rolled_back"
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == Completed || p == RolledBack }

// Record is what the nodes have made of an order; they keep it in the registry.
type Record struct {
	// Order is the number of the order, which it keeps when the registry comes back from a copy
	// and it is written again.
	Order uint64 `json:"order"`
	// Epoch is the registry's at which the record was written, and OrderRevision the revision
	// at which the order stood then; zero is that it did not, or that it is Order.
	Epoch         uint64 `json:"epoch,omitempty"`
	OrderRevision uint64 `json:"order_revision,omitempty"`
	// Target is the order's version.
	Target string `json:"target"`
	Phase  Phase  `json:"phase"`
	// Excluded are the versions that get nothing: targets of earlier orders that were rolled
	// back or given up for another.
	Excluded []string `json:"aside,omitempty"`
	// Before are the versions that were there beside the target; they get nothing once
	// traffic moves.
	Before []string `json:"before,omitempty"`
	// Elapsed is how old the order was when the record was written, and Decision how old it
	// is when it is decided.
	Elapsed    time.Duration `json:"elapsed_ns"`
	DecisionAt time.Duration `json:"decision_ns,omitempty"`
	// MoveAt is how old the order is when its traffic moves, once that is decided: all nodes
	// hear of it before.
	MoveAt time.Duration `json:"move_at_ns,omitempty"`
	// HasAlarm says that the registry holds an alarm of the order until the decision, by its
	// own clock, for nodes that don't know how old the order is.
	HasAlarm bool `json:"alarmed,omitempty"`
	// Grants are the requests that nodes may give the target beyond a share of their own,
	// by the node, and Granted is how old the order was when they were made.
	Grants  map[string]int `json:"grants,omitempty"`
	Granted time.Duration  `json:"granted_ns,omitempty"`
	// Reason tells what decided on the end.
	Reason string `json:"reason,omitempty"`
}

// orderRevision is the registry's revision of the order when the record was written.
func (r *Record) orderRevision() uint64 { return cmp.Or(r.OrderRevision, r.Order) }
