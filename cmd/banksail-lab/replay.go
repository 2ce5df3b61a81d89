package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/lab/experiment"
	"github.com/banksail/banksail/lab/replay"
)

// errTraceMismatch is returned if a dispatcher's actions differ from those in the trace.
var errTraceMismatch = errors.New("dispatcher actions differ from the trace")

// recordCommand simulates a run and writes a trace of one node's dispatcher.
type recordCommand struct {
	selection  replay.Selection
	durationMS float64
}

// Name implements subcommands.Command.
func (*recordCommand) Name() string { return "record" }

// Synopsis implements subcommands.Command.
func (*recordCommand) Synopsis() string {
	return "write a trace of one node's dispatcher in a simulation"
}

// Usage implements subcommands.Command.
func (*recordCommand) Usage() string {
	return `record -workload NAME -fault NAME [-policy NAME] [-seed N] [-node N] [-duration-ms N] FILE.yaml

Runs one simulation of an experiment file and writes what one node's dispatcher
was told, and what it decided, as JSON lines to standard output.

Example:
  banksail-lab record -workload load-0.7 -fault slow-replica -duration-ms 50 \
    examples/experiments/blue-mahoe.yaml > slow-replica.jsonl

`
}

// SetFlags implements subcommands.Command.
func (c *recordCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.selection.Workload, "workload", "", "workload of the file")
	flags.StringVar(&c.selection.Fault, "fault", "none", "fault set of the file")
	flags.StringVar(&c.selection.Policy, "policy", experiment.KindBanksail, "policy of the file, of kind banksail")
	flags.Uint64Var(&c.selection.Seed, "seed", 1, "seed of the run")
	flags.IntVar(&c.selection.Node, "node", 0, "index of the node")
	flags.StringVar(&c.selection.Description, "about", "", "what the trace shows, for its readers")
	flags.Float64Var(&c.durationMS, "duration-ms", 0, "how long queries arrive, in place of the file's time")
}

// Execute implements subcommands.Command.
func (c *recordCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	file, err := experiment.Load(flags.Arg(0))
	if err == nil {
		if c.durationMS > 0 {
			file.DurationMS = c.durationMS
		}
		err = replay.WriteTrace(os.Stdout, file, c.selection)
	}
	return unprefixedExitStatus(err)
}

// replayCommand feeds the events of traces to a dispatcher and compares its actions with the traces.
type replayCommand struct{}

// Name implements subcommands.Command.
func (*replayCommand) Name() string { return "replay" }

// Synopsis implements subcommands.Command.
func (*replayCommand) Synopsis() string {
	return "drive a dispatcher with traces and compare what it decides"
}

// Usage implements subcommands.Command.
func (*replayCommand) Usage() string {
	return `replay TRACE.jsonl...

Drives a dispatcher with the events of each trace and compares its actions with
those stated, byte for byte. Prints the first difference of each trace; the exit
code is 1 when there is one.

Example:
  banksail-lab replay lab/replay/testdata/*.jsonl

`
}

// SetFlags implements subcommands.Command.
func (*replayCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *replayCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	result := subcommands.ExitSuccess
	for _, path := range flags.Args() {
		if err := replayFile(path); err != nil {
			result = unprefixedExitStatus(fmt.Errorf("%s: %w", path, err))
		}
	}
	return result
}

// replayFile replays one trace and returns errTraceMismatch on the first difference.
func replayFile(path string) error {
	in, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }()
	report, err := replay.Run(in)
	if err != nil {
		return err
	}
	if report.Difference != nil {
		return fmt.Errorf("%w: %s", errTraceMismatch, report.Difference)
	}
	fmt.Printf("%s: %d records replayed alike; outcomes %v\n", path, report.Records, report.Outcomes)
	return nil
}

// unprefixedExitStatus prints the error, if any, without the program's name, and returns the exit
// status.
func unprefixedExitStatus(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}
