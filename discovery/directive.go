package discovery

import (
	"slices"
	"time"

	"github.com/banksail/banksail/rollout"
)

// DirectiveKind tells what a directive is about.
type DirectiveKind string

const (
	// EvacuateZone asks that nothing more be sent to the servers of a zone, until it is
	// taken back.
	EvacuateZone DirectiveKind = "evacuate_zone"
	// RollOut asks that a service's traffic move to another version.
	RollOut DirectiveKind = "roll_out"
	// RolloutAlarm stands beside a record until its order is to be decided; the registry
	// takes it away then. Its record names the order alone.
	RolloutAlarm DirectiveKind = "rollout_alarm"
	// RolloutRecord is what the nodes have made of such an order.
	RolloutRecord DirectiveKind = "rollout_record"
	// QuarantineContent asks that requests of a content be refused, as servers end under them.
	// The registry takes it away when the content has not come for a while.
	QuarantineContent DirectiveKind = "quarantine_content"
)

// IsRollout reports whether directives of the kind are about roll-outs.
func (k DirectiveKind) IsRollout() bool {
	return k == RollOut || k == RolloutAlarm || k == RolloutRecord
}

// Directive is an entry of the registry by which all nodes act alike: what an operator asks
// for, or what the nodes have decided.
type Directive struct {
	Kind DirectiveKind `json:"kind"`
	// Subject is the zone, the service, or the content.
	Subject string `json:"subject"`
	// Lease is that of the entry, where it has one.
	Lease uint64 `json:"lease,omitempty"`
	// Number names the entry among all that ever stood at its key: that of the position at
	// which it was written. An operator's entry that is written again, as the registry came
	// back from a copy without it, keeps its number. Nodes of an earlier build, which know of one
	// epoch only, tell and take it as the revision.
	Number uint64 `json:"revision"`
	// StoredAt is where the registry holds the key now; its revision is zero where it does not.
	StoredAt Position `json:"stored,omitzero"`
	// Lost says that the registry came back from a copy without the entry, and that it has not
	// been written again yet.
	Lost bool `json:"lost,omitempty"`
	// Order is set for RollOut, and Record for RolloutRecord and RolloutAlarm.
	Order  *rollout.Order  `json:"order,omitempty"`
	Record *rollout.Record `json:"record,omitempty"`
	// Since is when the entry was written, at the earliest; zero is unknown.
	Since time.Time `json:"-"`
	// Latest is when it stood in the registry already, as far as is known.
	Latest time.Time `json:"-"`
}

// Key identifies a directive among all.
func (d Directive) Key() string { return DirectiveKey(d.Kind, d.Subject) }

// DirectiveKey is the key of the directive of a kind about a subject.
func DirectiveKey(kind DirectiveKind, subject string) string { return string(kind) + "/" + subject }

// sameDirective reports whether two directives are the same entry, which the registry holds alike.
func sameDirective(a, b Directive) bool {
	return a.Key() == b.Key() && a.Number == b.Number && a.StoredAt == b.StoredAt && a.Lost == b.Lost
}

// requestsSameAs reports whether a directive asks for the same as another one about its subject.
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

// writtenByNodes reports whether nodes write directives of the kind, and write them again when the
// registry has lost them.
func (k DirectiveKind) writtenByNodes() bool { return k == RolloutRecord || k == QuarantineContent }

// EvacuatedZones lists the zones that are to be empty, sorted.
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
