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
	// order lists the entries by when they were recorded or renewed. Adopted ones
	// may expire earlier than their place tells; they then only take up room
	// until their turn.
	order list.List
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
func (l *Table) Claim(now time.Duration, claim Claim) Answer {
	known, element := l.find(now, claim.Key)
	if known == nil {
		return l.record(claim, now+l.options.TTL)
	}
	if known.claim.Holder != claim.Holder {
		return Answer{Verdict: Held, Holder: known.claim.Holder}
	}
	known.claim.Sequence = max(known.claim.Sequence, claim.Sequence)
	known.expires = now + l.options.TTL
	l.order.MoveToBack(element)
	return Answer{Verdict: Granted}
}

// ActiveClaim is a claim with the time for which it is still kept.
type ActiveClaim struct {
	Claim     Claim
	Remaining time.Duration
}

// ActiveClaim lists the claims, so that they can be handed to other owners.
func (l *Table) ActiveClaims(now time.Duration) []ActiveClaim {
	l.expire(now)
	claims := make([]ActiveClaim, 0, len(l.entries))
	for element := l.order.Front(); element != nil; element = element.Next() {
		known := element.Value.(*entry)
		if known.expires > now {
			claims = append(claims, ActiveClaim{Claim: known.claim, Remaining: known.expires - now})
		}
	}
	return claims
}

// Adopt records a claim that another owner kept, for the time that remains. A
// claim of the same key that this ledger knows stays as it is.
func (l *Table) Adopt(now time.Duration, kept ActiveClaim) {
	if known, _ := l.find(now, kept.Claim.Key); known != nil || kept.Remaining <= 0 {
		return
	}
	l.record(kept.Claim, now+min(kept.Remaining, l.options.TTL))
}

// find returns the claim of a key, unless it has expired.
func (l *Table) find(now time.Duration, key string) (*entry, *list.Element) {
	l.expire(now)
	element := l.entries[key]
	if element == nil {
		return nil, nil
	}
	known := element.Value.(*entry)
	if known.expires <= now {
		l.remove(element)
		return nil, nil
	}
	return known, element
}

func (l *Table) record(claim Claim, expires time.Duration) Answer {
	if len(l.entries) >= l.options.MaxClaims {
		return Answer{Verdict: Full}
	}
	l.entries[claim.Key] = l.order.PushBack(&entry{claim: claim, expires: expires})
	return Answer{Verdict: Granted}
}

// Release forgets a claim whose holder certainly did not run the request. The
// claim of another holder, and a later one of the same holder, stay.
func (l *Table) Release(claim Claim) {
	element := l.entries[claim.Key]
	if element == nil {
		return
	}
	known := element.Value.(*entry).claim
	if known.Holder == claim.Holder && known.Sequence <= claim.Sequence {
		l.remove(element)
	}
}

// Len is the number of claims kept.
func (l *Table) Len() int { return len(l.entries) }

func (l *Table) expire(now time.Duration) {
	for front := l.order.Front(); front != nil; front = l.order.Front() {
		if front.Value.(*entry).expires > now {
			return
		}
		l.remove(front)
	}
}

func (l *Table) remove(element *list.Element) {
	l.order.Remove(element)
	delete(l.entries, element.Value.(*entry).claim.Key)
}
