package rollout

import (
	"cmp"
	"time"
)

// Order is an operator's request to move a service's traffic to servers of one version.
type Order struct {
	// Target is the version to move to.
	Target string `json:"target,omitempty"`
	// Duration is the time from the order to its deadline.
	Duration time.Duration `json:"duration_ns,omitempty"`
	// Fault says what is wrong with the order, empty if it is valid. An invalid order is rolled back
	// immediately.
	Fault string `json:"fault,omitempty"`
}

// Phase is the phase of a roll-out.
type Phase string

// Phases of a roll-out.
const (
	// Running means that the target receives no more than the nodes' limits allow.
	Running Phase = "running"
	// Moving means that the target receives all new requests and the previous versions none, from
	// MoveAt on.
	Moving Phase = "moving"
	// Completed means that the target permanently receives all requests.
	Completed Phase = "completed"
	// RolledBack means that the target permanently receives no requests.
	RolledBack Phase = "rolled_back"
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == Completed || p == RolledBack }

// Record is the state of an order as decided by the nodes. It is stored in the registry. Ages are
// times since the order was given.
type Record struct {
	// Order is the number of the order. It is kept when the registry is restored from a backup and the
	// order is written again.
	Order uint64 `json:"order"`
	// Epoch is the registry's epoch when the record was written. OrderRevision is the revision of the
	// order in that epoch; zero means that the registry did not hold the order, or that the revision is
	// Order.
	Epoch         uint64 `json:"epoch,omitempty"`
	OrderRevision uint64 `json:"order_revision,omitempty"`
	// Rewritten says that the registry had lost the record, which had not ended as far as its writer knew.
	Rewritten bool `json:"rewritten,omitempty"`
	// Target is the order's version.
	Target string `json:"target"`
	Phase  Phase  `json:"phase"`
	// Excluded lists the versions that receive nothing: targets of earlier orders that were rolled back
	// or replaced by another order, and the versions before a completed one.
	Excluded []string `json:"aside,omitempty"`
	// Before lists the previous versions, which receive nothing once traffic has moved.
	Before []string `json:"before,omitempty"`
	// Elapsed is the age of the order when the record was written, and DecisionAt the age at which the
	// order is decided.
	Elapsed    time.Duration `json:"elapsed_ns"`
	DecisionAt time.Duration `json:"decision_ns,omitempty"`
	// MoveAt is the age at which traffic moves. It is set once the move is decided, far enough ahead for
	// all nodes to learn of it.
	MoveAt time.Duration `json:"move_at_ns,omitempty"`
	// HasAlarm says that the registry holds an alarm for the order: an entry that expires by the
	// registry's own clock at the time of the decision. Nodes that don't know the order's age go by it.
	HasAlarm bool `json:"alarmed,omitempty"`
	// Grants is the number of requests that each node may send to the target beyond its share, by node.
	// Granted is the age of the order when they were assigned.
	Grants  map[string]int `json:"grants,omitempty"`
	Granted time.Duration  `json:"granted_ns,omitempty"`
	// Reason says why the order ended or moved.
	Reason string `json:"reason,omitempty"`
}

// orderRevision returns the registry's revision of the order when the record was written.
func (r *Record) orderRevision() uint64 { return cmp.Or(r.OrderRevision, r.Order) }

// Reopened reports whether a later record contradicts this one, after which the previous servers have
// stopped: its order was completed. It was written by a node that did not know of the end.
func (r *Record) Reopened(later *Record) bool {
	return r.Phase == Completed && later != nil && later.Order == r.Order && later.Phase != Completed
}
