package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/lab/history"
)

// Errors of the subcommand judge.
var (
	errNoJournal          = errors.New("no journal file given")
	errViolations         = errors.New("invariants were violated")
	errInvariantNotJudged = errors.New("the journals contain nothing to check an invariant against")
)

// maxPrintedViolations is the maximum number of violations that are printed.
const maxPrintedViolations = 40

// timingInvariants are the invariants that can be violated just because the machine is slow. They
// are skipped with --safety-only.
var timingInvariants = []history.Invariant{history.LeavingServer, history.OneFinalAnswer, history.Recovery}

// judgeCommand checks the invariants against the journals of a run of real processes.
type judgeCommand struct {
	options    history.Options
	safetyOnly bool
	requireAll bool
}

// Name implements subcommands.Command.
func (*judgeCommand) Name() string { return "judge" }

// Synopsis implements subcommands.Command.
func (*judgeCommand) Synopsis() string { return "judge a recorded run by the invariants" }

// Usage implements subcommands.Command.
func (*judgeCommand) Usage() string {
	return `judge [flags] JOURNAL ...:
  Join the journals of one run, written by load, observe, collect and whoever
  started and stopped the processes, and judge the run by the invariants. Print
  what was judged and each violation. Exit code 1 on any violation.

  Example: banksail-lab judge calls-1.jsonl calls-2.jsonl revisions.jsonl ran.jsonl events.jsonl

`
}

// SetFlags implements subcommands.Command.
func (c *judgeCommand) SetFlags(flags *flag.FlagSet) {
	c.options = history.DefaultOptions()
	flags.DurationVar(&c.options.AnswerAllowance, "answer-allowance", c.options.AnswerAllowance, "how long after its deadline a call may be answered")
	flags.DurationVar(&c.options.LeavingGrace, "leaving-grace", c.options.LeavingGrace, "how long after it began to leave a server may get new work")
	flags.DurationVar(&c.options.ConfigurationBound, "configuration-bound", c.options.ConfigurationBound, "within which an accepted configuration is in force everywhere")
	flags.DurationVar(&c.options.RecoveryBound, "recovery-bound", c.options.RecoveryBound, "within which the system is whole again after the last fault")
	flags.DurationVar(&c.options.InFlightMargin, "in-flight-margin", c.options.InFlightMargin, "how long a call or an answer may be under way")
	flags.BoolVar(&c.safetyOnly, "safety-only", false, "leave out what a slow machine alone can violate")
	flags.BoolVar(&c.requireAll, "require-all", false, "fail also when an invariant had nothing to be judged by")
}

// Execute implements subcommands.Command.
func (c *judgeCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(c.run(os.Stdout, flags.Args()))
}

func (c *judgeCommand) run(writer io.Writer, paths []string) error {
	if len(paths) == 0 {
		return errNoJournal
	}
	journals, err := readJournals(paths)
	if err != nil {
		return err
	}
	joined, err := history.Join(journals...)
	if err != nil {
		return err
	}
	options := c.options
	if c.safetyOnly {
		options.ConfigurationBound = math.MaxInt64 / 4
	}
	report := history.Check(joined, options)
	verdict := c.verdict(report)
	if err := verdict.write(writer, joined); err != nil {
		return err
	}
	return verdict.err()
}

// verdict is a report without the violations of skipped invariants.
type verdict struct {
	report     history.Report
	skipped    []history.Invariant
	violations []history.Violation
	requireAll bool
}

func (c *judgeCommand) verdict(report history.Report) verdict {
	result := verdict{report: report, requireAll: c.requireAll}
	if c.safetyOnly {
		result.skipped = timingInvariants
	}
	for _, violation := range report.Violations {
		if !slices.Contains(result.skipped, violation.Invariant) {
			result.violations = append(result.violations, violation)
		}
	}
	return result
}

// count returns the number of violations of an invariant.
func (v verdict) count(invariant history.Invariant) int {
	count := 0
	for _, violation := range v.violations {
		if violation.Invariant == invariant {
			count++
		}
	}
	return count
}

// write prints how many items each invariant was checked on and how often it was violated, the known
// limits, and the violations, maxPrintedViolations at most.
func (v verdict) write(writer io.Writer, joined *history.History) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "INVARIANT\tJUDGED\tVIOLATIONS")
	for _, invariant := range history.Invariants() {
		if slices.Contains(v.skipped, invariant) {
			_, _ = fmt.Fprintf(table, "%s\tnot judged\t-\n", invariant)
			continue
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\n", invariant, v.report.Checked[invariant], v.count(invariant))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(writer, "%d calls of %d requests, %d answers, %d sub-requests, %d accepted revisions, %d confirmations, %d runs of nodes, over %v\n",
		len(joined.Calls), countRequests(joined), len(joined.Answers), len(joined.Attempts), len(joined.Accepted),
		len(joined.Confirmations), len(joined.Runs), joined.End)
	for _, limit := range v.report.KnownLimitations {
		_, _ = fmt.Fprintf(writer, "known limit: %s\n", limit)
	}
	for _, violation := range v.violations[:min(len(v.violations), maxPrintedViolations)] {
		_, _ = fmt.Fprintf(writer, "violation: %s\n", violation)
	}
	return err
}

// countRequests returns the number of distinct requests. A request may be sent in several calls.
func countRequests(joined *history.History) int {
	seen := make(map[string]bool)
	for _, call := range joined.Calls {
		seen[call.RequestID] = true
	}
	return len(seen)
}

// err returns errViolations if there are violations and, with --require-all, errInvariantNotJudged
// if an invariant that is not skipped had nothing to check.
func (v verdict) err() error {
	if len(v.violations) > 0 {
		return fmt.Errorf("%w: %d violations", errViolations, len(v.violations))
	}
	for _, invariant := range history.Invariants() {
		if v.requireAll && v.report.Checked[invariant] == 0 && !slices.Contains(v.skipped, invariant) {
			return fmt.Errorf("%w: %s", errInvariantNotJudged, invariant)
		}
	}
	return nil
}
