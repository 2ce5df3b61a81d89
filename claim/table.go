package claim

import (
	"container/list"
	"time"
)

// Holder is the node that may run a request, in one of its incarnations.
type Holder struct {
	Node        string
	Incarnation uint64
}

// Claim is a claimant's request to an owner.
type Claim struct {
	// Key identifies the request.
	Key    string
	Holder Holder
	// Sequence increases with each claim of the holder, so that a delayed
	// release cannot undo a later claim of the same key.
	Sequence uint64
}

// Verdict is an owner's decision on a claim.
type Verdict int

const (
	// Granted means that the claim is recorded and no other holder is known.
	Granted Verdict = iota + 1
	// Held means that another holder has already claimed the request.
	Held
	// Full means that the owner's table is full. The claim is not recorded.
	Full
)

// Answer is an owner's reply to a claim. Holder is set if the verdict is Held.
type Answer struct {
	Verdict Verdict
	Holder  Holder
}

// TableOptions configures a Table. Zero fields are set to their defaults.
type TableOptions struct {
	// TTL is how long a claim is kept after it was recorded or renewed; default
	// 20 minutes. It covers the longest deadline, within which the request may
	// still be running, and the time for which the holder itself remembers the
	// outcome.
	TTL time.Duration
	// MaxClaims is the maximum number of claims that are kept; default 100,000.
	MaxClaims int
}

// Default values of TableOptions.
const (
	DefaultTTL       = 20 * time.Minute
	DefaultMaxClaims = 100_000
)

// Table holds the claims for which this node is an owner. It is not safe for
// concurrent use.
type Table struct {
	options TableOptions
	entries map[string]*list.Element
	// byRenewal lists the entries in the order in which they were recorded or
	// renewed. Adopted entries can expire earlier than their position implies;
	// until they reach the front they only take up space.
	byRenewal list.List
}

// entry is a claim and the time at which it expires.
type entry struct {
	claim   Claim
	expires time.Duration
}

// NewTable returns an empty Table.
func NewTable(options TableOptions) *Table {
	if options.TTL <= 0 {
		options.TTL = DefaultTTL
	}
	if options.MaxClaims <= 0 {
		options.MaxClaims = DefaultMaxClaims
	}
	return &Table{options: options, entries: make(map[string]*list.Element)}
}

// Claim records the claim unless another holder has the key or the table is
// full. If the same holder repeats a claim, it is granted again and expires a
// full TTL from now.
func (t *Table) Claim(now time.Duration, claim Claim) Answer {
	existing, element := t.findActive(now, claim.Key)
	if existing == nil {
		return t.record(claim, now+t.options.TTL)
	}
	if existing.claim.Holder != claim.Holder {
		return Answer{Verdict: Held, Holder: existing.claim.Holder}
	}
	existing.claim.Sequence = max(existing.claim.Sequence, claim.Sequence)
	existing.expires = now + t.options.TTL
	t.byRenewal.MoveToBack(element)
	return Answer{Verdict: Granted}
}

// ActiveClaim is a claim that has not expired, with its remaining TTL.
type ActiveClaim struct {
	Claim     Claim
	Remaining time.Duration
}

// ActiveClaims returns the claims that have not expired, so that they can be
// handed over to other owners.
func (t *Table) ActiveClaims(now time.Duration) []ActiveClaim {
	t.removeExpired(now)
	claims := make([]ActiveClaim, 0, len(t.entries))
	for element := t.byRenewal.Front(); element != nil; element = element.Next() {
		existing := element.Value.(*entry)
		if existing.expires > now {
			claims = append(claims, ActiveClaim{Claim: existing.claim, Remaining: existing.expires - now})
		}
	}
	return claims
}

// Adopt records a claim handed over by another owner, for its remaining TTL. It
// does not change an existing claim of the same key, and drops the claim if the
// table is full.
func (t *Table) Adopt(now time.Duration, active ActiveClaim) {
	if existing, _ := t.findActive(now, active.Claim.Key); existing != nil || active.Remaining <= 0 {
		return
	}
	t.record(active.Claim, now+min(active.Remaining, t.options.TTL))
}

// findActive returns the claim of a key, or nil if there is none or it has
// expired.
func (t *Table) findActive(now time.Duration, key string) (*entry, *list.Element) {
	t.removeExpired(now)
	element := t.entries[key]
	if element == nil {
		return nil, nil
	}
	existing := element.Value.(*entry)
	if existing.expires <= now {
		t.remove(element)
		return nil, nil
	}
	return existing, element
}

// record adds a claim unless the table is full.
func (t *Table) record(claim Claim, expires time.Duration) Answer {
	if len(t.entries) >= t.options.MaxClaims {
		return Answer{Verdict: Full}
	}
	t.entries[claim.Key] = t.byRenewal.PushBack(&entry{claim: claim, expires: expires})
	return Answer{Verdict: Granted}
}

// Release removes a claim whose holder definitely did not run the request. A
// claim of another holder, or a later claim of the same holder, is kept.
func (t *Table) Release(claim Claim) {
	element := t.entries[claim.Key]
	if element == nil {
		return
	}
	existing := element.Value.(*entry).claim
	if existing.Holder == claim.Holder && existing.Sequence <= claim.Sequence {
		t.remove(element)
	}
}

// Len returns the number of claims in the table.
func (t *Table) Len() int { return len(t.entries) }

// removeExpired removes expired claims from the front of byRenewal.
func (t *Table) removeExpired(now time.Duration) {
	for front := t.byRenewal.Front(); front != nil; front = t.byRenewal.Front() {
		if front.Value.(*entry).expires > now {
			return
		}
		t.remove(front)
	}
}

func (t *Table) remove(element *list.Element) {
	t.byRenewal.Remove(element)
	delete(t.entries, element.Value.(*entry).claim.Key)
}
