package extrabudget

// Usable is the part of a whole that is spent: nodes come and go, and those that count
// them see that late.
func Usable(whole float64) float64 { return usableShare * whole }

// Allowance is one node's part of what all nodes together may spend over a span that has
// one beginning, such as an order: a ratio of what the node itself counted in it, and what
// was granted to it. The zero value has counted and spent nothing.
//
// Invariant: what all nodes spend stays within the ratio of all that was counted and the sum
// of the grants, however nodes come, go and restart, if no grant is used by two processes
// and a process that restarts begins with the zero value.
type Allowance struct{ counted, spent int }

// Count notes something that the ratio is taken of.
func (a *Allowance) Count() { a.counted++ }

// Spend notes something that is spent.
func (a *Allowance) Spend() { a.spent++ }

// Refund notes that something that was spent has not happened.
func (a *Allowance) Refund() { a.spent-- }

// Spent is what was spent so far.
func (a *Allowance) Spent() int { return a.spent }

// Counted is what the ratio is taken of.
func (a *Allowance) Counted() int { return a.counted }

// Limit is what may be spent so far, with what was.
func (a *Allowance) Limit(ratio float64, granted int) float64 {
	return Usable(ratio)*float64(a.counted) + float64(granted)
}
