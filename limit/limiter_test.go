package limit_test

import (
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banksail/banksail/limit"
)

const serviceTime = 10 * time.Millisecond

// runWindows fills the given number of windows with requests of the given latency, and
// returns the time at the end.
func runWindows(l *limit.Limiter, now time.Duration, windows int, latency time.Duration) time.Duration {
	for range windows * limit.DefaultWindowSamples {
		for l.CanStart() {
			l.Start()
		}
		now += latency
		l.End(now, latency, limit.Answered)
	}
	return now
}

func TestInitialLimitEqualsSlots(t *testing.T) {
	if got := limit.New(5, limit.Options{}).Limit(); got != 5 {
		t.Fatalf("limit %d, want 5", got)
	}
}

func TestLatencyAboveBaselineLowersLimit(t *testing.T) {
	l := limit.New(10, limit.Options{})
	now := runWindows(l, 0, 5, serviceTime)
	before := l.Limit()
	runWindows(l, now, 5, 3*serviceTime)
	if l.Limit() >= before {
		t.Fatalf("limit %d, want less than %d", l.Limit(), before)
	}
}

func TestLimitRecoversWithLatency(t *testing.T) {
	l := limit.New(10, limit.Options{})
	now := runWindows(l, 0, 5, serviceTime)
	now = runWindows(l, now, 10, 3*serviceTime)
	low := l.Limit()
	runWindows(l, now, 30, serviceTime)
	if l.Limit() < 10 {
		t.Fatalf("limit %d, want at least 10; it was %d under congestion", l.Limit(), low)
	}
}

func TestLimitGrowsOnlyWhenReached(t *testing.T) {
	l := limit.New(10, limit.Options{})
	for i := range 200 {
		l.Start()
		l.End(time.Duration(i)*serviceTime, serviceTime, limit.Answered)
	}
	if l.Limit() != 10 {
		t.Fatalf("limit %d, want 10 as the limit was never reached", l.Limit())
	}
}

func TestConcurrentShedRepliesLowerLimitOnce(t *testing.T) {
	l := limit.New(8, limit.Options{})
	for range 8 {
		l.Start()
	}
	for range 8 {
		l.End(serviceTime, serviceTime, limit.Shed)
	}
	if l.Limit() != 6 {
		t.Fatalf("limit %d, want 6", l.Limit())
	}
}

func TestConnectionLimitCapsLimit(t *testing.T) {
	l := limit.New(5, limit.Options{})
	l.SetConnectionLimit(2)
	if l.Limit() != 2 {
		t.Fatalf("limit %d, want 2", l.Limit())
	}
}

func TestFixedPolicyUsesSlots(t *testing.T) {
	l := limit.New(5, limit.Options{Policy: limit.Fixed})
	l.Start()
	l.End(serviceTime, serviceTime, limit.Shed)
	runWindows(l, serviceTime, 5, 9*serviceTime)
	if l.Limit() != 5 {
		t.Fatalf("limit %d, want 5", l.Limit())
	}
}

func TestHeadroomShares(t *testing.T) {
	got := limit.HeadroomShares([]float64{0.2, 0.1, 0.9, 0}, 0.1)
	want := []float64{1, 0.8, 0.7, 0.1}
	for i := range want {
		if limit.AllowedInFlight(1000, got[i]) != limit.AllowedInFlight(1000, want[i]) {
			t.Fatalf("shares %v, want %v", got, want)
		}
	}
	if !slices.IsSortedFunc(got, func(a, b float64) int { return int(1000 * (b - a)) }) {
		t.Fatal("a less urgent class has a larger share")
	}
}

func TestConnectionShare(t *testing.T) {
	tests := []struct {
		name                 string
		connections, clients int
		want                 int
	}{
		{"one client", 70, 1, 63},
		{"four clients", 70, 4, 15},
		{"more clients than connections", 70, 1400, 0},
		{"no client known", 70, 0, 63},
	}
	for _, test := range tests {
		if got := limit.ConnectionShare(test.connections, test.clients, limit.DefaultSpareConnections); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}

// Whatever outcomes are reported, the limit stays between 1 and Growth times the slots.
func TestLimitStaysWithinBounds(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("bounds", prop.ForAll(func(slots int, ends []uint16) bool {
		l := limit.New(slots, limit.Options{})
		now := time.Duration(0)
		for _, end := range ends {
			l.Start()
			now += time.Duration(end) * time.Microsecond
			l.End(now, time.Duration(end)*time.Microsecond, limit.Outcome(end%3))
			if l.Limit() < 1 || float64(l.Limit()) > float64(slots)*limit.DefaultGrowth+0.5 {
				return false
			}
		}
		return l.InFlight() == 0
	}, gen.IntRange(1, 50), gen.SliceOfN(500, gen.UInt16())))
	properties.TestingRun(t)
}

func TestClientCountSetsOnlyInitialLimit(t *testing.T) {
	l := limit.New(5, limit.Options{})
	l.SetClients(2)
	if l.Limit() != 3 {
		t.Fatalf("initial limit %d, want 3", l.Limit())
	}
	runWindows(l, 0, 5, serviceTime)
	learned := l.Limit()
	l.SetClients(5)
	if l.Limit() != learned {
		t.Fatalf("limit %d, want the adapted %d", l.Limit(), learned)
	}
}

func TestLimitGrowsOnUnmetDemand(t *testing.T) {
	l := limit.New(10, limit.Options{})
	for i := range 3 * limit.DefaultWindowSamples {
		l.RecordDemand()
		l.Start()
		l.End(time.Duration(i)*serviceTime, serviceTime, limit.Answered)
	}
	if l.Limit() <= 10 {
		t.Fatalf("limit %d, want more than 10", l.Limit())
	}
}
