package limit_test

import (
	"fmt"
	"time"

	"github.com/banksail/banksail/limit"
)

func ExampleLimiter() {
	limiter := limit.New(4, limit.Options{})
	for limiter.CanStart() {
		limiter.Start()
	}
	fmt.Println("in flight:", limiter.InFlight())

	// The server sheds a request because other clients use its slots too.
	limiter.End(3*time.Millisecond, 3*time.Millisecond, limit.Shed)
	fmt.Println("limit:", limiter.Limit(), "free:", limiter.CanStart())
	// Output:
	// in flight: 4
	// limit: 3 free: false
}

func ExampleHeadroomShares() {
	// A fifth of each limit is reserved for the first class.
	shares := limit.HeadroomShares([]float64{0.2, 0}, 0.1)
	fmt.Println(limit.AllowedInFlight(10, shares[0]), limit.AllowedInFlight(10, shares[1]))
	// Output: 10 8
}
