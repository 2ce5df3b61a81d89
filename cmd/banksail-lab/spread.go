package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/lab/spread"
)

// spreadCommand measures how a revision of the configuration spreads.
type spreadCommand struct {
	options spread.Options
	runs    int
}

// Name returns the subcommand's name.
func (*spreadCommand) Name() string { return "spread" }

// Synopsis returns one line of help.
func (*spreadCommand) Synopsis() string {
	return "count messages and time until a configuration is in force everywhere"
}

// Usage returns the help.
func (*spreadCommand) Usage() string {
	return `spread [flags]:
  Spread one revision over hollow nodes on a virtual clock, for several seeds and
  numbers of nodes up to --nodes. Times are the worst of all seeds; messages are
  means.

  Example: banksail-lab spread --nodes 1400 --zones 8 --store-zones 1

`
}

// SetFlags declares the flags.
func (c *spreadCommand) SetFlags(flags *flag.FlagSet) {
	flags.IntVar(&c.options.Nodes, "nodes", 1400, "greatest number of nodes")
	flags.IntVar(&c.options.Zones, "zones", 8, "number of zones")
	flags.IntVar(&c.options.StoreZones, "store-zones", 0, "number of zones that reach the store; 0 means all")
	flags.BoolVar(&c.options.ConfirmerLost, "confirmer-lost", false, "the confirming node dies before it tells anybody")
	flags.Float64Var(&c.options.PeerLoss, "peer-loss", 0, "share of calls between nodes that fail, from 0 to 1")
	flags.DurationVar(&c.options.PeerDelay, "peer-delay", spread.DefaultPeerDelay, "mean one-way delay between nodes")
	flags.IntVar(&c.runs, "runs", 10, "number of seeds")
}

// Execute runs the subcommand.
func (c *spreadCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments(flags); err != nil {
		return finish(err)
	}
	if err := c.check(); err != nil {
		return finish(err)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "nodes\twatchers\thalf\t99%\tall\treached\tpushes/node\trecords/node\tcompares/node/s\tstore reads/s\t")
	for _, nodes := range sizes(c.options.Nodes) {
		c.measure(table, nodes)
	}
	return finish(table.Flush())
}

// Bounds of the flags.
const (
	maximumSpreadNodes = 20000
	maximumSpreadRuns  = 1000
)

func (c *spreadCommand) check() error {
	switch {
	case c.options.Nodes < 1 || c.options.Nodes > maximumSpreadNodes:
		return fmt.Errorf("--nodes must be 1 to %d", maximumSpreadNodes)
	case c.options.Zones < 1 || c.options.Zones > c.options.Nodes:
		return fmt.Errorf("--zones must be 1 to the number of nodes")
	case c.options.StoreZones < 0 || c.options.StoreZones > c.options.Zones:
		return fmt.Errorf("--store-zones must be 0 to the number of zones")
	case c.options.PeerLoss < 0 || c.options.PeerLoss >= 1:
		return fmt.Errorf("--peer-loss must be at least 0 and below 1")
	case c.options.PeerDelay <= 0:
		return fmt.Errorf("--peer-delay must be positive")
	case c.runs < 1 || c.runs > maximumSpreadRuns:
		return fmt.Errorf("--runs must be 1 to %d", maximumSpreadRuns)
	}
	return nil
}

// sizes lists numbers of nodes, each twice the one before, up to the greatest.
func sizes(greatest int) []int {
	const least = 50
	list := []int{greatest}
	for size := greatest / 2; size >= least; size /= 2 {
		list = append(list, size)
	}
	slices.Reverse(list)
	return list
}

func (c *spreadCommand) measure(table *tabwriter.Writer, nodes int) {
	options := c.options
	options.Nodes = nodes
	options.Zones = min(options.Zones, nodes)
	var worst spread.Result
	var quiet, change spread.Counts
	reached := nodes
	for seed := range c.runs {
		options.Seed = uint64(seed)
		result := spread.Run(options)
		worst.Half = max(worst.Half, result.Half)
		worst.Most = max(worst.Most, result.Most)
		worst.All = max(worst.All, result.All)
		worst.Watchers = max(worst.Watchers, result.Watchers)
		worst.QuietTime += result.QuietTime
		reached = min(reached, result.Reached)
		quiet.Comparisons += result.Quiet.Comparisons
		quiet.StoreReads += result.Quiet.StoreReads
		change.Pushes += result.Change.Pushes
		change.Records += result.Change.Records
	}
	perNode := float64(nodes * c.runs)
	_, _ = fmt.Fprintf(table, "%d\t%d\t%v\t%v\t%v\t%d\t%.2f\t%.2f\t%.3f\t%.3f\t\n", nodes, worst.Watchers,
		worst.Half.Round(time.Millisecond), worst.Most.Round(time.Millisecond), worst.All.Round(time.Millisecond), reached,
		float64(change.Pushes)/perNode, float64(change.Records)/perNode,
		float64(quiet.Comparisons)/worst.QuietTime.Seconds()/float64(nodes),
		float64(quiet.StoreReads)/worst.QuietTime.Seconds())
}
