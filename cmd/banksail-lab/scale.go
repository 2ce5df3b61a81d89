package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/lab/scale"
)

// scaleCommand measures how cost grows with each size.
type scaleCommand struct {
	output string
	only   string
	nodes  string
	bounds scale.Bounds
	quiet  bool
}

// Name implements subcommands.Command.
func (*scaleCommand) Name() string { return "scale" }

// Synopsis implements subcommands.Command.
func (*scaleCommand) Synopsis() string {
	return "measure how the cost of each role grows with nodes, servers, groups and changes"
}

// Usage implements subcommands.Command.
func (*scaleCommand) Usage() string {
	return `scale [-only PREFIX[,PREFIX...]] [-output DIRECTORY] [-nodes ADDRESS[,ADDRESS...]]

Drives the decision cores of up to 1,400 hollow nodes in this process, varies
one size at a time, fits a line to each quantity and prints the slopes with
their errors. With -output it also writes slopes.csv and a plot for each slope.

With -nodes it reads processor time and memory of running nodes from their
metrics instead, once a second; -only and -output don't apply.

Examples:
  banksail-lab scale -output out/scale
  banksail-lab scale -only membership,spread
  banksail-lab scale -nodes 127.0.0.1:7081,127.0.0.1:7181 -time 20s

`
}

// SetFlags implements subcommands.Command.
func (c *scaleCommand) SetFlags(flags *flag.FlagSet) {
	c.bounds = scale.DefaultBounds()
	flags.StringVar(&c.output, "output", "", "directory for slopes.csv and plots; none when empty")
	flags.StringVar(&c.only, "only", "", "run only the sweeps whose names start so, separated by commas")
	flags.StringVar(&c.nodes, "nodes", "", "addresses of running nodes' operator listeners, separated by commas")
	flags.DurationVar(&c.bounds.Time, "time", c.bounds.Time, "longest time of the whole run")
	flags.Uint64Var(&c.bounds.Memory, "memory", c.bounds.Memory, "largest heap in bytes at which another size is begun")
	flags.BoolVar(&c.quiet, "quiet", false, "don't tell on standard error which size is measured")
}

// Execute implements subcommands.Command.
func (c *scaleCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 0 {
		_, _ = fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	run := c.sweep
	if c.nodes != "" {
		run = c.observe
	}
	if err := run(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *scaleCommand) observe(ctx context.Context) error {
	readings, err := scale.ObserveNodes(ctx, strings.Split(c.nodes, ","), c.bounds.Time)
	if err != nil {
		return err
	}
	return scale.WriteReadings(os.Stdout, readings)
}

// sweep reports what was measured also when a bound ended the run.
func (c *scaleCommand) sweep(ctx context.Context) error {
	sweeps, err := scale.Select(scale.Sweeps(), c.only)
	if err != nil {
		return err
	}
	all, runError := scale.Run(ctx, c.bounds, sweeps, c.progress)
	if len(all) == 0 {
		return runError
	}
	if err := scale.WriteTable(os.Stdout, all); err != nil {
		return err
	}
	if _, err := fmt.Println(); err != nil {
		return err
	}
	if err := scale.WriteSizes(os.Stdout, all); err != nil {
		return err
	}
	return errors.Join(runError, c.writeFiles(all))
}

func (c *scaleCommand) progress(sweep string, size float64) {
	if !c.quiet {
		_, _ = fmt.Fprintf(os.Stderr, "%s: %g\n", sweep, size)
	}
}

func (c *scaleCommand) writeFiles(all []scale.Series) error {
	if c.output == "" {
		return nil
	}
	if _, err := scale.WritePlots(c.output, all); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(c.output, "slopes.csv"))
	if err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	return errors.Join(scale.WriteCSV(file, all), file.Close())
}
