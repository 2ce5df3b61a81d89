package discovery

import "cmp"

// Epoch counts how often a registry was restored from a backup. A restore discards what was
// written after the backup, and revisions are assigned again. Zero means that the registry
// does not report an epoch.
type Epoch uint64

// Revision orders the changes of a registry within one epoch.
type Revision uint64

// Position is a position in the registry's history. Revisions are comparable only within the
// same epoch.
type Position struct {
	Epoch    Epoch    `json:"epoch,omitempty"`
	Revision Revision `json:"revision"`
}

// Compare orders positions by epoch, then by revision.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, other.Epoch), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether p is before other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// revisionBits is the number of bits of a position's Number that hold the revision: enough for
// 8,900 years at a thousand changes per second.
const revisionBits = 48

// Number encodes a position as a single number with the same order. It equals the revision if
// the registry does not report an epoch.
func (p Position) Number() uint64 {
	return uint64(p.Epoch)<<revisionBits | uint64(p.Revision)&(1<<revisionBits-1)
}
