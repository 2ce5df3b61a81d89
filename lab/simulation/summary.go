package simulation

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/schedule"
)

// Summary aggregates the results of many seeds. Its methods are safe for
// concurrent use.
type Summary struct {
	// mutex guards the fields below.
	mutex            sync.Mutex
	histories        int
	checkedHistories map[history.Invariant]int
	items            map[history.Invariant]int
	violations       map[history.Invariant]int
	faults           map[schedule.Kind]int
	modes            map[schedule.Mode]int
	// checkedUnder counts, by kind of fault, the histories with such a fault in
	// which an invariant was checked.
	checkedUnder     map[schedule.Kind]map[history.Invariant]int
	knownLimitations int
	calls            int
	attempts         int
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		checkedHistories: make(map[history.Invariant]int),
		items:            make(map[history.Invariant]int),
		violations:       make(map[history.Invariant]int),
		faults:           make(map[schedule.Kind]int),
		checkedUnder:     make(map[schedule.Kind]map[history.Invariant]int),
		modes:            make(map[schedule.Mode]int),
	}
}

// Add adds the result of one run.
func (s *Summary) Add(result Result) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.histories++
	s.modes[result.Schedule.Mode]++
	s.knownLimitations += len(result.Report.KnownLimitations)
	s.calls += len(result.History.Calls)
	s.attempts += len(result.History.Attempts)
	for invariant, items := range result.Report.Checked {
		s.items[invariant] += items
		if items > 0 {
			s.checkedHistories[invariant]++
		}
	}
	for _, violation := range result.Report.Violations {
		s.violations[violation.Invariant]++
	}
	for _, fault := range result.Schedule.Faults {
		s.faults[fault.Kind]++
	}
	for _, kind := range schedule.Kinds() {
		if result.Schedule.Has(kind) {
			s.addCheckedUnder(kind, result.Report)
		}
	}
}

func (s *Summary) addCheckedUnder(kind schedule.Kind, report history.Report) {
	if s.checkedUnder[kind] == nil {
		s.checkedUnder[kind] = make(map[history.Invariant]int)
	}
	for invariant, items := range report.Checked {
		if items > 0 {
			s.checkedUnder[kind][invariant]++
		}
	}
}

// Matrix returns a Markdown table of the number of histories in which each
// invariant was checked under each kind of fault.
func (s *Summary) Matrix() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	text := &strings.Builder{}
	fmt.Fprint(text, "| fault |")
	for _, invariant := range history.Invariants() {
		fmt.Fprintf(text, " %s |", invariant)
	}
	fmt.Fprintf(text, "\n|---|%s\n", strings.Repeat("---|", len(history.Invariants())))
	for _, kind := range schedule.Kinds() {
		fmt.Fprintf(text, "| %s |", kind)
		for _, invariant := range history.Invariants() {
			fmt.Fprintf(text, " %d |", s.checkedUnder[kind][invariant])
		}
		fmt.Fprintln(text)
	}
	return text.String()
}

// Text returns the summary as text, for runs that took the given time in total.
func (s *Summary) Text(took time.Duration) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	text := &strings.Builder{}
	fmt.Fprintf(text, "%d histories in %.1f s, %.1f seeds a second; %d requests, %d sub-requests\n",
		s.histories, took.Seconds(), float64(s.histories)/took.Seconds(), s.calls, s.attempts)
	fmt.Fprintf(text, "%-18s %10s %10s %10s\n", "invariant", "histories", "items", "violations")
	for _, invariant := range history.Invariants() {
		fmt.Fprintf(text, "%-18s %10d %10d %10d\n", invariant, s.checkedHistories[invariant], s.items[invariant], s.violations[invariant])
	}
	fmt.Fprintf(text, "beyond the known limits: %d runs of a not-repeatable request again, once every node was lost\n", s.knownLimitations)
	fmt.Fprint(text, "modes:")
	for _, mode := range schedule.Modes() {
		fmt.Fprintf(text, " %s %d", mode, s.modes[mode])
	}
	fmt.Fprint(text, "\nfaults:")
	for _, kind := range schedule.Kinds() {
		fmt.Fprintf(text, " %s %d", kind, s.faults[kind])
	}
	fmt.Fprintln(text)
	return text.String()
}
