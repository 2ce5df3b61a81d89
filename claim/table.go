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

// Claim is what a claimant sends to an owner.
type Claim struct {
	// Key names the request.
	Key    string
	Holder Holder
	// Sequence grows with each claim of the holder, so that a release that
	// arrives late can't undo a later claim of the same key.
	Sequence uint64
}

// Verdict is an owner's answer to a claim.
type Verdict int

const (
	// Granted means that the claim is recorded and no other holder is known.
	Granted Verdict = iota + 1
	// Held means that another holder claimed the request before.
	Held
	// Full means that the owner has no room; the claim is not recorded.
	Full
)

// Answer is an owner's verdict; Holder is set when the request is held.
type Answer struct {
	Verdict Verdict
	Holder  Holder
}

// TableOptions sets up a Ledger. The zero value of a field stands for its default.
type TableOptions struct {
	// TTL is how long a claim is kept; default twenty minutes. It covers the
	// longest deadline, in which the request may still run, and the time for
	// which the holder itself remembers the outcome.
	TTL time.Duration
	// MaxClaims is the number of claims that are kept; default 100,000.
	MaxClaims int
}

// Defaults of TableOptions.
const (
	DefaultTTL       = 20 * time.Minute
	DefaultMaxClaims = 100_000
)

// Table keeps the claims of which this node is an owner. It is not safe for
// concurrent use.
type Table struct {
	options TableOptions
	entries map[string]*list.Element
	// byRenewal lists the entries by when they were recorded or renewed. Adopted ones
	// may expire earlier than their place tells; they then only take up room
	// until their turn.
	byRenewal list.List
}

type entry struct {
	claim   Claim
	expires time.Duration
}

// NewTable returns an empty Ledger.
func NewTable(options TableOptions) *Table {
	if options.TTL <= 0 {
		options.TTL = DefaultTTL
	}
	if options.MaxClaims <= 0 {
		options.MaxClaims = DefaultMaxClaims
	}
	return &Table{options: options, entries: make(map[string]*list.Element)}
}

// Claim records the claim unless another holder has the key. A claim that the
// same holder repeats is granted again and kept for a whole window from now.
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

// ActiveClaim is a claim with the time for which it is still kept.
type ActiveClaim struct {
	Claim     Claim
	Remaining time.Duration
}

// ActiveClaim lists the claims, so that they can be handed to other owners.
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

// Adopt records a claim that another owner kept, for the time that remains. A
// claim of the same key that this ledger knows stays as it is.
func (t *Table) Adopt(now time.Duration, active ActiveClaim) {
	if existing, _ := t.findActive(now, active.Claim.Key); existing != nil || active.Remaining <= 0 {
		return
	}
	t.record(active.Claim, now+min(active.Remaining, t.options.TTL))
}

// findActive returns the claim of a key, unless it has expired.
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

func (t *Table) record(claim Claim, expires time.Duration) Answer {
	if len(t.entries) >= t.options.MaxClaims {
		return Answer{Verdict: Full}
	}
	t.entries[claim.Key] = t.byRenewal.PushBack(&entry{claim: claim, expires: expires})
	return Answer{Verdict: Granted}
}

// Release forgets a claim whose holder certainly did not run the request. The
// claim of another holder, and a later one of the same holder, stay.
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

// Len is the number of claims kept.
func (t *Table) Len() int { return len(t.entries) }

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
