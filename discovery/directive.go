package discovery

import (
	"slices"
	"time"

	"github.com/banksail/banksail/rollout"
)

// DirectiveKind is the type of a directive.
type DirectiveKind string

const (
	// EvacuateZone requests that nothing more be sent to the servers of a zone, until it is
	// removed.
	EvacuateZone DirectiveKind = "evacuate_zone"
	// RollOut requests that a service's traffic move to another version.
	RollOut DirectiveKind = "roll_out"
	// RolloutAlarm accompanies a record until its order is due for a decision, when the
	// registry expires it. Its record names only the order.
	RolloutAlarm DirectiveKind = "rollout_alarm"
	// RolloutRecord is the nodes' progress with such an order.
	RolloutRecord DirectiveKind = "rollout_record"
	// QuarantineFingerprint requests that requests with a certain fingerprint be rejected because they
	// crash servers. The registry expires it when the fingerprint has not been seen for a while.
	QuarantineFingerprint DirectiveKind = "quarantine_content"
)

// IsRollout reports whether directives of this kind belong to roll-outs.
func (k DirectiveKind) IsRollout() bool {
	return k == RollOut || k == RolloutAlarm || k == RolloutRecord
}

// Directive is a registry entry that all nodes act on: a request by an operator, or a decision
// of the nodes.
type Directive struct {
	Kind DirectiveKind `json:"kind"`
	// Subject is the zone, the service, or the content's fingerprint.
	Subject string `json:"subject"`
	// Lease is the lease of the entry, or zero if it has none.
	Lease uint64 `json:"lease,omitempty"`
	// Number identifies the entry among all that were ever written at its key: it is the
	// number of the position at which it was written. An operator's entry that is written
	// again after the registry was restored from a backup without it keeps its number. Nodes
	// of an earlier build, which know one epoch only, use the revision here.
	Number uint64 `json:"revision"`
	// StoredAt is the position at which the registry holds the key now; its revision is zero
	// if the registry does not hold it.
	StoredAt Position `json:"stored,omitzero"`
	// Lost is set when the registry was restored from a backup without the entry and the entry
	// has not been written again yet.
	Lost bool `json:"lost,omitempty"`
	// Order is set for RollOut, and Record for RolloutRecord and RolloutAlarm.
	Order  *rollout.Order  `json:"order,omitempty"`
	Record *rollout.Record `json:"record,omitempty"`
	// Since is the earliest time at which the entry can have been written; zero is unknown.
	Since time.Time `json:"-"`
	// Latest is the latest time at which the entry can have been written: the registry already
	// held it then.
	Latest time.Time `json:"-"`
}

// Key returns the key that identifies the directive.
func (d Directive) Key() string { return DirectiveKey(d.Kind, d.Subject) }

// DirectiveKey returns the key of the directive of a kind for a subject.
func DirectiveKey(kind DirectiveKind, subject string) string { return string(kind) + "/" + subject }

// sameDirective reports whether two directives are the same entry with the same state in the registry.
func sameDirective(a, b Directive) bool {
	return a.Key() == b.Key() && a.Number == b.Number && a.StoredAt == b.StoredAt && a.Lost == b.Lost
}

// requestsSameAs reports whether a directive requests the same as another one for its subject.
func (d Directive) requestsSameAs(other Directive) bool {
	switch {
	case d.Order != nil && other.Order != nil:
		return *d.Order == *other.Order
	case d.Record != nil && other.Record != nil:
		return d.Record.Order == other.Record.Order
	default:
		return d.Order == other.Order && d.Record == other.Record
	}
}

// writtenByNodes reports whether nodes write directives of this kind, and write them again after
// the registry has lost them.
func (k DirectiveKind) writtenByNodes() bool { return k == RolloutRecord || k == QuarantineFingerprint }

// EvacuatedZones returns the zones that are evacuated, sorted.
func EvacuatedZones(directives []Directive) []string {
	zones := []string{}
	for _, d := range directives {
		if d.Kind == EvacuateZone {
			zones = append(zones, d.Subject)
		}
	}
	slices.Sort(zones)
	return zones
}
