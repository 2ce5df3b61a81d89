package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/lab/schedule"
	"github.com/banksail/banksail/lab/soak"
)

// soakCommand runs the real node program in several processes, injects faults from outside, and
// checks invariants on what callers, servers and the operator observed.
type soakCommand struct {
	seeds, kinds, program, keepDirectory, regressionsPath string
	duration                                              time.Duration
	scheduleOnly                                          bool
}

// Name implements subcommands.Command.
func (*soakCommand) Name() string { return "soak" }

// Synopsis implements subcommands.Command.
func (*soakCommand) Synopsis() string {
	return "run real nodes under drawn faults and judge what callers and servers saw"
}

// Usage implements subcommands.Command.
func (*soakCommand) Usage() string {
	return `soak [flags]:
  Start eight nodes as processes of their own, with stand-ins of the platform's
  store and servers behind loopback proxies, send requests, bring the faults
  about that the seed draws, and judge what was seen. The same seed and duration
  give the same schedule. Exit code 1 on any violation.

  Example: banksail-lab soak --seed 1 --for 1m
  Example: banksail-lab soak --regressions lab/soak/regressions.txt

`
}

// SetFlags implements subcommands.Command.
func (c *soakCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.seeds, "seed", "1", "seed of the schedule; several with commas between are played one after the other, and 5..9 are five")
	flags.DurationVar(&c.duration, "for", time.Minute, "how long a seed plays")
	flags.StringVar(&c.program, "program", "bin/banksail-front", "the node's program")
	flags.StringVar(&c.kinds, "faults", "", "kinds of faults to draw from, with commas between; none is all")
	flags.StringVar(&c.keepDirectory, "keep", "", "directory that settings and logs are written to; they are deleted otherwise, unless a rule was broken")
	flags.StringVar(&c.regressionsPath, "regressions", "", "file of seeds that found something, to be played instead: seed, duration, kinds of faults (- is all) and cause a line")
	flags.BoolVar(&c.scheduleOnly, "show", false, "print the schedules and play nothing")
}

// Execute implements subcommands.Command.
func (c *soakCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := requireNoArguments(flags); err != nil {
		return exitStatus(err)
	}
	return exitStatus(c.run(ctx, os.Stdout))
}

func (c *soakCommand) run(ctx context.Context, writer io.Writer) error {
	runs, err := c.runs()
	if err != nil {
		return err
	}
	violations := 0
	for _, plannedRun := range runs {
		if _, err := fmt.Fprint(writer, soak.Generate(plannedRun.seed, plannedRun.duration, soak.DefaultLayout(), plannedRun.kinds...)); err != nil {
			return err
		}
		if c.scheduleOnly {
			continue
		}
		found, err := c.runSoak(ctx, writer, plannedRun)
		if err != nil {
			return err
		}
		violations += found
	}
	if violations > 0 {
		return fmt.Errorf("%w: %d violations", errViolations, violations)
	}
	return nil
}

// soakRun is one run: a seed, its duration and the kinds of faults to draw from, all if empty.
type soakRun struct {
	seed     uint64
	duration time.Duration
	kinds    []schedule.Kind
}

// runs returns the runs in the file given with --regressions or, without it, one for each --seed.
func (c *soakCommand) runs() (runs []soakRun, err error) {
	if c.regressionsPath != "" {
		return readRegressions(c.regressionsPath)
	}
	seeds, err := parseSeeds(c.seeds)
	if err != nil {
		return nil, err
	}
	for _, seed := range seeds {
		runs = append(runs, soakRun{seed: seed, duration: c.duration, kinds: parseKinds(c.kinds)})
	}
	return runs, nil
}

// errInvalidRegressions is returned if the file of regressions cannot be read or a line is invalid.
var errInvalidRegressions = errors.New("--regressions")

// readRegressions reads a file of runs. Each line has a seed, a duration, kinds of faults (- for
// all) and a cause; empty lines and lines that begin with # are ignored.
func readRegressions(path string) (runs []soakRun, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidRegressions, err)
	}
	for number, line := range strings.Split(string(content), "\n") {
		if strings.HasPrefix(line, "#") || strings.TrimSpace(line) == "" {
			continue
		}
		fields := strings.Fields(line)
		if len(fields) < 4 {
			return nil, fmt.Errorf("%w: line %d: must have a seed, a duration, kinds of faults and a cause", errInvalidRegressions, number+1)
		}
		regression := soakRun{}
		if regression.seed, err = strconv.ParseUint(fields[0], 10, 63); err != nil {
			return nil, fmt.Errorf("%w: line %d: seed: %w", errInvalidRegressions, number+1, err)
		}
		if regression.duration, err = time.ParseDuration(fields[1]); err != nil {
			return nil, fmt.Errorf("%w: line %d: duration: %w", errInvalidRegressions, number+1, err)
		}
		if fields[2] != "-" {
			regression.kinds = parseKinds(fields[2])
		}
		runs = append(runs, regression)
	}
	return runs, nil
}

// parseKinds parses kinds of faults separated by commas. It accepts unknown kinds, which the soak
// run reports.
func parseKinds(text string) (kinds []schedule.Kind) {
	for kind := range strings.SplitSeq(text, ",") {
		if kind != "" {
			kinds = append(kinds, schedule.Kind(kind))
		}
	}
	return kinds
}

// runSoak runs one soak, prints its report and returns the number of violations. The directory with
// settings and logs is kept if there were violations or --keep is given, and deleted otherwise or if
// the run could not be carried out.
func (c *soakCommand) runSoak(ctx context.Context, writer io.Writer, plannedRun soakRun) (violations int, err error) {
	directory, err := os.MkdirTemp(c.keepDirectory, fmt.Sprintf("soak-%d-", plannedRun.seed))
	if err != nil {
		return 0, err
	}
	program, err := filepath.Abs(c.program)
	if err != nil {
		return 0, fmt.Errorf("--program: %w", err)
	}
	report, err := soak.Run(ctx, soak.Options{
		Seed: plannedRun.seed, Duration: plannedRun.duration, Program: program, Arguments: []string{"serve"}, Kinds: plannedRun.kinds, Directory: directory,
		ReportProgress: func(format string, arguments ...any) { _, _ = fmt.Fprintf(writer, format+"\n", arguments...) },
	})
	if err != nil {
		return 0, errors.Join(err, os.RemoveAll(directory))
	}
	if err := writeSoakReport(writer, report); err != nil {
		return 0, err
	}
	if len(report.Violations) == 0 && c.keepDirectory == "" {
		return 0, os.RemoveAll(directory)
	}
	_, err = fmt.Fprintf(writer, "settings and logs: %s\n", directory)
	return len(report.Violations), err
}

// writeSoakReport prints how often each invariant was checked and violated, the totals of the run,
// and the violations, maxPrintedViolations at most.
func writeSoakReport(writer io.Writer, report *soak.Report) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "INVARIANT\tJUDGED\tVIOLATIONS")
	for _, invariant := range soak.Invariants() {
		count := 0
		for _, violation := range report.Violations {
			if violation.Invariant == invariant {
				count++
			}
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\n", invariant, report.Checked[invariant], count)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(writer, "seed %d: %d faults, %d requests, %d answered well, %d arrivals at servers, %d configurations, roll-out: %s, longest pause %s\n",
		report.Schedule.Seed, len(report.Schedule.Faults), report.SentRequests, report.Succeeded, report.ReceivedRequests, report.Configurations, report.RolloutOutcome, report.LongestPause)
	for _, violation := range report.Violations[:min(len(report.Violations), maxPrintedViolations)] {
		_, _ = fmt.Fprintf(writer, "violation: %s\n", violation)
	}
	return err
}

// errInvalidSeed is returned if an entry of --seed is invalid or there are too many seeds.
var errInvalidSeed = errors.New("--seed")

// maxSeeds is the maximum number of seeds given with --seed.
const maxSeeds = 1000

// parseSeeds parses seeds and ranges of seeds, as in "3,5..9", separated by commas.
func parseSeeds(text string) (seeds []uint64, err error) {
	for entry := range strings.SplitSeq(text, ",") {
		first, last, isRange := strings.Cut(entry, "..")
		from, err := strconv.ParseUint(first, 10, 63)
		until := from
		if err == nil && isRange {
			until, err = strconv.ParseUint(last, 10, 63)
		}
		if err != nil || until < from || until-from+uint64(len(seeds)) >= maxSeeds {
			return nil, fmt.Errorf("%w: %q must be a seed or a range FIRST..LAST, with at most %d seeds in total", errInvalidSeed, entry, maxSeeds)
		}
		for seed := from; seed <= until; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}
