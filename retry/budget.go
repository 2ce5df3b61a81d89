package retry

// BudgetOptions configures a Budget. Zero fields take their defaults.
type BudgetOptions struct {
	// Burst is the initial balance of the reserve, and the maximum balance of the
	// reserve and of each class's account; default 20.
	Burst float64
}

// DefaultBurst is the default of BudgetOptions.Burst.
const DefaultBurst = 20

// Budget is a token budget for hedges and retries, credited with a share of first
// sends. Each class has an account. A class may draw on the accounts of less urgent
// classes, but not on those of more urgent ones. Credit beyond an account's maximum
// goes to a reserve that pays for retries of every class, but not for hedges.
type Budget struct {
	burst    float64
	accounts []float64 // by rank, most urgent class first
	reserve  float64
	spent    float64
	credited float64
}

// NewBudget returns a Budget for the given number of classes.
func NewBudget(classes int, options BudgetOptions) *Budget {
	if options.Burst <= 0 {
		options.Burst = DefaultBurst
	}
	return &Budget{
		burst:    options.Burst,
		accounts: make([]float64, classes),
		reserve:  options.Burst,
	}
}

// SetClasses changes the number of classes. Balances of removed classes are lost.
func (b *Budget) SetClasses(classes int) {
	accounts := make([]float64, classes)
	copy(accounts, b.accounts)
	b.accounts = accounts
}

// SetBurst changes the maximum balance. It does not refill the reserve.
func (b *Budget) SetBurst(burst float64) {
	b.burst = burst
}

// Credit adds the given share of a number of first sends to the account of the
// class with the given rank.
func (b *Budget) Credit(rank, sends int, share float64) {
	if rank < 0 || rank >= len(b.accounts) || share <= 0 {
		return
	}
	amount := float64(sends) * share
	b.credited += amount
	b.accounts[rank] += amount
	if over := b.accounts[rank] - b.burst; over > 0 {
		b.accounts[rank] = b.burst
		b.reserve = min(b.reserve+over, max(b.burst, b.reserve))
	}
}

// SpendHedge pays for a hedge of the class with the given rank. It reports false,
// and charges nothing, if the balance does not suffice.
func (b *Budget) SpendHedge(rank int, price float64) bool {
	return b.spend(rank, price, 0)
}

// SpendRetry is like SpendHedge, but for a retry, which may also draw on the
// reserve.
func (b *Budget) SpendRetry(rank int, price float64) bool {
	return b.spend(rank, price, b.reserve)
}

// spend withdraws the price from the class's account, then from the accounts of less
// urgent classes, least urgent first, then from the reserve. The reserve argument is
// the part of the reserve that may be used.
func (b *Budget) spend(rank int, price, reserve float64) bool {
	if rank < 0 || rank >= len(b.accounts) {
		return false
	}
	available := reserve
	for _, balance := range b.accounts[rank:] {
		available += balance
	}
	if available < price {
		return false
	}
	b.spent += price
	price -= withdraw(&b.accounts[rank], price)
	for i := len(b.accounts) - 1; i > rank; i-- {
		price -= withdraw(&b.accounts[i], price)
	}
	b.reserve -= min(price, b.reserve)
	return true
}

// withdraw takes up to price from the account and returns the amount taken.
func withdraw(account *float64, price float64) float64 {
	taken := min(*account, price)
	*account -= taken
	return taken
}

// Spent returns the sum of all prices paid.
func (b *Budget) Spent() float64 { return b.spent }

// Credited returns the sum of all credits, including those beyond the maximum balances.
func (b *Budget) Credited() float64 { return b.credited }
