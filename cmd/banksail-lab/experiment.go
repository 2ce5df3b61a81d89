package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/lab/experiment"
)

const (
	outputDirectoryMode = 0o755
	outputFileMode      = 0o644
)

// experimentCommand runs the simulations of an experiment file and prints their results.
type experimentCommand struct {
	outputDirectory string
	parallel        int
	quiet           bool
	workload        string
}

// Name implements subcommands.Command.
func (*experimentCommand) Name() string { return "experiment" }

// Synopsis implements subcommands.Command.
func (*experimentCommand) Synopsis() string {
	return "compare policies on simulated workloads and faults"
}

// Usage implements subcommands.Command.
func (*experimentCommand) Usage() string {
	return `experiment [-output DIRECTORY] [-parallel N] [-workload NAME] FILE.yaml

Runs the grid of workloads, faults, policies and seeds of the file on a virtual
clock and prints a table. With -output it also writes results.csv and the plots.

Example:
  banksail-lab experiment -output /tmp/blue-mahoe examples/experiments/blue-mahoe.yaml

`
}

// SetFlags implements subcommands.Command.
func (c *experimentCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.outputDirectory, "output", "", "directory for results.csv and plots; none when empty")
	flags.IntVar(&c.parallel, "parallel", 0, "simulations that run at once; 0 means one per processor")
	flags.BoolVar(&c.quiet, "quiet", false, "don't draw the progress bar")
	flags.StringVar(&c.workload, "workload", "", "run only the workload of this name")
}

// Execute implements subcommands.Command.
func (c *experimentCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	return unprefixedExitStatus(c.run(ctx, flags.Arg(0)))
}

func (c *experimentCommand) run(ctx context.Context, path string) error {
	file, err := experiment.Load(path)
	if err != nil {
		return err
	}
	if c.workload != "" {
		if err := file.RestrictToWorkload(c.workload); err != nil {
			return err
		}
	}
	options := experiment.Options{Parallel: c.parallel}
	if !c.quiet {
		options.Progress = experiment.ProgressBar(os.Stderr)
	}
	cells, err := experiment.Run(ctx, file, options)
	if err != nil {
		return err
	}
	if err := experiment.WriteTable(os.Stdout, file, cells); err != nil {
		return err
	}
	if c.outputDirectory == "" {
		return nil
	}
	return c.writeFiles(file, cells)
}

// writeFiles writes results.csv and the plots to the output directory, which it creates if needed.
func (c *experimentCommand) writeFiles(file *experiment.File, cells []*experiment.Cell) error {
	if err := os.MkdirAll(c.outputDirectory, outputDirectoryMode); err != nil {
		return err
	}
	path := filepath.Join(c.outputDirectory, "results.csv")
	out, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, outputFileMode)
	if err != nil {
		return err
	}
	if err := experiment.WriteCSV(out, file, cells); err != nil {
		_ = out.Close()
		return err
	}
	if err := out.Close(); err != nil {
		return err
	}
	return experiment.WritePlots(c.outputDirectory, cells)
}
