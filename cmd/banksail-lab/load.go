package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/load"
	"github.com/banksail/banksail/lab/profile"
)

// errNoMatchingQuery is returned if no query in the profile's mix matches --service and --class.
var errNoMatchingQuery = errors.New("no query in the profile's mix matches the service and class")

// errWrongAnswers is returned if answers differ from the results that the stand-ins hold.
var errWrongAnswers = errors.New("wrong answers")

// loadCommand sends queries to a node and checks the answers.
type loadCommand struct {
	options        load.Options
	profileName    string
	service        string
	class          string
	deadlineMS     float64
	retryAddresses stringList
	journal        string
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string { return "send queries to a node and sum up the answers" }

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return `load [flags]:
  Send queries of a profile's mix to a node's caller API at a mean rate, check
  each answer against what the stand-ins hold, and print a table. Exit code 1
  when an answer is wrong.

  Example: banksail-lab load --node 127.0.0.1:20101 --profile small --rate 100 --duration 10s

`
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.options.Address, "node", "127.0.0.1:20101", "IP number and port of the node's caller API")
	flags.StringVar(&c.profileName, "profile", profile.Small, "profile: "+strings.Join(profile.Names(), ", "))
	flags.StringVar(&c.service, "service", "", "send only queries to this service; all of the profile when empty")
	flags.StringVar(&c.class, "class", "", "send only queries of this class; all of the profile when empty")
	flags.Float64Var(&c.options.Rate, "rate", load.DefaultRate, "mean number of queries a second")
	flags.DurationVar(&c.options.Duration, "duration", load.DefaultDuration, "how long to send")
	flags.IntVar(&c.options.MaxInFlight, "in-flight", load.DefaultMaxInFlight, "bound of the queries not yet answered")
	flags.Float64Var(&c.deadlineMS, "deadline-ms", 0, "deadline of each query; 0 leaves it to the class")
	flags.Float64Var(&c.options.MinimumCoverage, "minimum-coverage", 0, "minimum coverage of each query, from 0 to 1; 0 leaves it to the class")
	flags.Uint64Var(&c.options.Seed, "seed", 1, "seed of the arrivals")
	flags.Var(&c.retryAddresses, "retry", "caller API to which queries that are not repeatable are sent again, with their ID, while they have no answer; may be given several times")
	flags.StringVar(&c.journal, "journal", "", "file that gets every sending and its end, for the subcommand judge; needs --deadline-ms")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := requireNoArguments(flags); err != nil {
		return exitStatus(err)
	}
	return exitStatus(c.run(ctx))
}

func (c *loadCommand) run(ctx context.Context) error {
	chosen, err := profile.Get(c.profileName)
	if err != nil {
		return err
	}
	options := c.options
	options.Deadline = time.Duration(c.deadlineMS * float64(time.Millisecond))
	options.Mix = c.selectQueries(chosen.Mix)
	if len(options.Mix) == 0 {
		return fmt.Errorf("%w: %q, %q", errNoMatchingQuery, c.service, c.class)
	}
	options.RetryAddresses = c.retryAddresses
	var report *load.Report
	err = withJournal(c.journal, func(journal *history.Journal) error {
		options.Journal = journal
		report, err = load.Run(ctx, options)
		return err
	})
	if err != nil {
		return err
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if wrong := report.Wrong(); wrong > 0 {
		return fmt.Errorf("%w: %d", errWrongAnswers, wrong)
	}
	return nil
}

// selectQueries returns the shares of the mix that match the flags --service and --class.
func (c *loadCommand) selectQueries(mix []profile.QueryKind) []profile.QueryKind {
	var chosen []profile.QueryKind
	for _, share := range mix {
		if c.service != "" && share.Service != c.service {
			continue
		}
		if c.class != "" && share.Class != c.class {
			continue
		}
		chosen = append(chosen, share)
	}
	return chosen
}
