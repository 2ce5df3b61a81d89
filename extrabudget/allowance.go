package extrabudget

// Usable returns the part of a total that may be used. The rest is a safety margin because
// nodes learn late that others joined or left.
func Usable(total float64) float64 { return usableShare * total }

// Allowance limits what one node may spend during a period that starts at the same event for
// all nodes, such as an order. The limit is a ratio of the events that the node itself has
// counted in the period, plus what was granted to the node. The zero value is ready for use.
//
// Invariant: the spending of all nodes stays within the ratio of all counted events plus the
// sum of the grants, even if nodes join, leave or restart, provided that no grant is used by
// two processes and that a restarted process begins with the zero value.
type Allowance struct{ counted, spent int }

// Count counts one event toward the ratio.
func (a *Allowance) Count() { a.counted++ }

// Spend records one unit of spending.
func (a *Allowance) Spend() { a.spent++ }

// Refund undoes one Spend whose action did not take place.
func (a *Allowance) Refund() { a.spent-- }

// Spent returns the spending so far.
func (a *Allowance) Spent() int { return a.spent }

// Counted returns the number of events counted so far.
func (a *Allowance) Counted() int { return a.counted }

// Limit returns the maximum spending so far, including what was spent already.
func (a *Allowance) Limit(ratio float64, granted int) float64 {
	return Usable(ratio)*float64(a.counted) + float64(granted)
}
