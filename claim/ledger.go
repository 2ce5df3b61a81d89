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

// LedgerOptions sets up a Ledger. The zero value of a field stands for its default.
type LedgerOptions struct {
	// Window is how long a claim is kept; default twenty minutes. It covers the
	// longest deadline, in which the request may still run, and the time for
	// which the holder itself remembers the outcome.
	Window time.Duration
	// Maximum is the number of claims that are kept; default 100,000.
	Maximum int
}

// Defaults of LedgerOptions.
const (
	DefaultWindow  = 20 * time.Minute
	DefaultMaximum = 100_000
)

// Ledger keeps the claims of which this node is an owner. It is not safe for
// concurrent use.
type Ledger struct {
	options LedgerOptions
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

// NewLedger returns an empty Ledger.
func NewLedger(options LedgerOptions) *Ledger {
	if options.Window <= 0 {
		options.Window = DefaultWindow
	}
	if options.Maximum <= 0 {
		options.Maximum = DefaultMaximum
	}
	return &Ledger{options: options, entries: make(map[string]*list.Element)}
}

// Claim records the claim unless another holder has the key. A claim that the
// same holder repeats is granted again and kept for a whole window from now.
func (l *Ledger) Claim(now time.Duration, claim Claim) Answer {
	known, element := l.find(now, claim.Key)
	if known == nil {
		return l.record(claim, now+l.options.Window)
	}
	if known.claim.Holder != claim.Holder {
		return Answer{Verdict: Held, Holder: known.claim.Holder}
	}
	known.claim.Sequence = max(known.claim.Sequence, claim.Sequence)
	known.expires = now + l.options.Window
	l.order.MoveToBack(element)
	return Answer{Verdict: Granted}
}

// Kept is a claim with the time for which it is still kept.
type Kept struct {
	Claim     Claim
	Remaining time.Duration
}

// Kept lists the claims, so that they can be handed to other owners.
func (l *Ledger) Kept(now time.Duration) []Kept {
	l.expire(now)
	claims := make([]Kept, 0, len(l.entries))
	for element := l.order.Front(); element != nil; element = element.Next() {
		known := element.Value.(*entry)
		if known.expires > now {
			claims = append(claims, Kept{Claim: known.claim, Remaining: known.expires - now})
		}
	}
	return claims
}

// Adopt records a claim that another owner kept, for the time that remains. A
// claim of the same key that this ledger knows stays as it is.
func (l *Ledger) Adopt(now time.Duration, kept Kept) {
	if known, _ := l.find(now, kept.Claim.Key); known != nil || kept.Remaining <= 0 {
		return
	}
	l.record(kept.Claim, now+min(kept.Remaining, l.options.Window))
}

// find returns the claim of a key, unless it has expired.
func (l *Ledger) find(now time.Duration, key string) (*entry, *list.Element) {
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

func (l *Ledger) record(claim Claim, expires time.Duration) Answer {
	if len(l.entries) >= l.options.Maximum {
		return Answer{Verdict: Full}
	}
	l.entries[claim.Key] = l.order.PushBack(&entry{claim: claim, expires: expires})
	return Answer{Verdict: Granted}
}

// Release forgets a claim whose holder certainly did not run the request. The
// claim of another holder, and a later one of the same holder, stay.
func (l *Ledger) Release(claim Claim) {
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
func (l *Ledger) Len() int { return len(l.entries) }

func (l *Ledger) expire(now time.Duration) {
	for front := l.order.Front(); front != nil; front = l.order.Front() {
		if front.Value.(*entry).expires > now {
			return
		}
		l.remove(front)
	}
}

func (l *Ledger) remove(element *list.Element) {
	l.order.Remove(element)
	delete(l.entries, element.Value.(*entry).claim.Key)
}
