package retry_test

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banksail/banksail/retry"
)

func TestHedgeDrawsOnOwnAndLessUrgentClasses(t *testing.T) {
	b := retry.NewBudget(3, retry.BudgetOptions{Burst: 10})
	b.Credit(1, 10, 0.1)
	if b.SpendHedge(2, 1) {
		t.Fatal("a less urgent class drew on a more urgent one")
	}
	if !b.SpendHedge(0, 1) {
		t.Fatal("the most urgent class could not draw on a less urgent one")
	}
	if b.SpendHedge(1, 1) {
		t.Fatal("one credit paid for two hedges")
	}
}

func TestReserveServesOnlyRetries(t *testing.T) {
	b := retry.NewBudget(1, retry.BudgetOptions{Burst: 2})
	if b.SpendHedge(0, 1) {
		t.Fatal("a hedge was paid from the reserve")
	}
	for i, want := range []bool{true, true, false} {
		if got := b.SpendRetry(0, 1); got != want {
			t.Fatalf("retry %d: paid = %t", i, got)
		}
	}
}

func TestOverflowRefillsReserve(t *testing.T) {
	b := retry.NewBudget(1, retry.BudgetOptions{Burst: 2})
	b.SpendRetry(0, 2)
	b.Credit(0, 30, 0.1)
	if !b.SpendRetry(0, 3) {
		t.Fatal("credit beyond the account's maximum did not reach the reserve")
	}
}

// In any sequence of operations, the amount spent never exceeds the credits plus the burst.
func TestBudgetBound(t *testing.T) {
	const burst = 5
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("bound", prop.ForAll(func(steps []uint8) bool {
		b := retry.NewBudget(3, retry.BudgetOptions{Burst: burst})
		var credited, spent float64
		for _, step := range steps {
			rank := int(step>>2) % 3
			switch step & 3 {
			case 0:
				b.Credit(rank, int(step>>4), 0.1)
				credited += float64(step>>4) * 0.1
			case 1:
				if b.SpendHedge(rank, 1) {
					spent++
				}
			default:
				if b.SpendRetry(rank, 0.5) {
					spent += 0.5
				}
			}
			if spent > credited+burst+1e-6 {
				return false
			}
		}
		return true
	}, gen.SliceOfN(300, gen.UInt8())))
	properties.TestingRun(t)
}
