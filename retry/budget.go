package retry

// BudgetOptions sets up a Budget. The zero value of a field stands for its default.
type BudgetOptions struct {
	// Burst is what the budget starts with, and the most that is saved up per
	// class and in the reserve; default 20.
	Burst float64
}

// DefaultBurst is the default of BudgetOptions.Burst.
const DefaultBurst = 20

// Budget pays for extra requests out of shares of first sends. Each class has
// an account. A class may draw on the accounts of less urgent classes, never on
// those of more urgent ones. What an account can't hold goes to a reserve that
// serves retries of every class, but no hedge.
type Budget struct {
	burst    float64
	accounts []float64 // by rank, the most urgent first
	reserve  float64
	spent    float64
	credited float64
}

// NewBudget returns a Budget for a number of classes.
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

// SetClasses changes the number of classes; what removed classes had saved is lost.
func (b *Budget) SetClasses(classes int) {
	accounts := make([]float64, classes)
	copy(accounts, b.accounts)
	b.accounts = accounts
}

// SetBurst changes the most that is saved up; the reserve is not refilled by it.
func (b *Budget) SetBurst(burst float64) {
	b.burst = burst
}

// Credit notes first sends of the class with the given rank, of which the given
// share may be sent again.
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

// SpendHedge pays for a hedge of the class with the given rank. It reports
// whether the hedge may be sent.
func (b *Budget) SpendHedge(rank int, price float64) bool {
	return b.spend(rank, price, 0)
}

// SpendRetry pays for a retry, if need be out of the reserve. It reports whether
// the retry may be sent.
func (b *Budget) SpendRetry(rank int, price float64) bool {
	return b.spend(rank, price, b.reserve)
}

// spend takes the price from the class's account, then from those of less urgent
// classes, the least urgent first, then from the reserve up to its given part.
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

// withdraw moves up to price out of the account and returns how much.
func withdraw(account *float64, price float64) float64 {
	taken := min(*account, price)
	*account -= taken
	return taken
}

// Spent is the sum of all prices paid.
func (b *Budget) Spent() float64 { return b.spent }

// Credited is the sum of all shares credited.
func (b *Budget) Credited() float64 { return b.credited }
