package main

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/operator"
	"github.com/banksail/banksail/policy"
)

// configCommand implements "config", which prints the configuration in force at a node.
type configCommand struct{ baseCommand }

func (*configCommand) Name() string     { return "config" }
func (*configCommand) Synopsis() string { return "print the configuration in force" }
func (*configCommand) Usage() string {
	return `banksailctl config [flags]

Prints classes and services in force at the asked node. With --json the
document's "config" can be put into an intent as "replace".

Example:
  banksailctl config
  banksailctl config --json

Flags:
`
}

func (c *configCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return runQuery(ctx, &c.baseCommand, flags, c.client().Configuration, c.printConfiguration)
}

func (c *configCommand) printConfiguration(configuration operator.Configuration) {
	c.print("revision %d\n\n", configuration.Revision)
	table := tabwriter.NewWriter(c.output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "CLASS\tORDER\tLONGEST WAIT\tDEADLINE\tMINIMUM COVERAGE\tHEDGE SHARE\tHEADROOM")
	for _, class := range configuration.Config.Classes {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%v\t%v\t%g\t%g\t%g\n", class.Name, class.Order,
			class.LongestWait.Duration(), class.Deadline.Duration(), class.MinimumCoverage, class.HedgeShare, class.Headroom)
	}
	_, _ = fmt.Fprintln(table, "\nSERVICE\tKEY SPACE\tGROUPS\tSERVERS\tSLOTS")
	for _, service := range configuration.Config.Services {
		servers, slots := countCapacity(service)
		_, _ = fmt.Fprintf(table, "%s\t%v\t%d\t%d\t%d\n", service.Name, service.KeySpace, len(service.Groups), servers, slots)
	}
	_ = table.Flush()
}

// countCapacity returns the numbers of servers and slots in all groups of a service.
func countCapacity(service policy.Service) (servers, slots int) {
	for _, group := range service.Groups {
		servers += len(group.Servers)
		for _, server := range group.Servers {
			slots += server.Slots
		}
	}
	return servers, slots
}

// historyCommand implements "history", which prints the latest accepted changes.
type historyCommand struct{ baseCommand }

func (*historyCommand) Name() string     { return "history" }
func (*historyCommand) Synopsis() string { return "print the latest accepted changes" }
func (*historyCommand) Usage() string {
	return `banksailctl history [flags]

Prints the latest accepted changes, oldest first: revision, operator, time and
the first differences of each.

Example:
  banksailctl history

Flags:
`
}

func (h *historyCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return runQuery(ctx, &h.baseCommand, flags, h.client().History, h.printHistory)
}

func (h *historyCommand) printHistory(history operator.History) {
	for _, entry := range history.Entries {
		h.print("revision %d  %s  %s  plan %s\n", entry.Revision, entry.ConfirmedAt.Format(time.RFC3339), entry.Author, entry.PlanID)
		if entry.Note != "" {
			h.print("  %s\n", entry.Note)
		}
		for _, line := range entry.Summary {
			h.print("  %s\n", line)
		}
		if more := entry.Differences - len(entry.Summary); more > 0 {
			h.print("  and %d more\n", more)
		}
	}
}
