package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/operator"
	"github.com/banksail/banksail/policy"
)

// exitUnknown says that a change may or may not be in effect.
const exitUnknown subcommands.ExitStatus = 3

const (
	defaultNode = "127.0.0.1:7102"
	// nodeVariable names the environment variable that replaces defaultNode.
	nodeVariable = "BANKSAIL_OPERATOR"
)

// register adds all subcommands.
func register(commander *subcommands.Commander, output, errorOutput io.Writer) {
	common := func() common { return common{output: output, errorOutput: errorOutput} }
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&planCommand{common: common()}, "changes")
	commander.Register(&confirmCommand{common: common()}, "changes")
	commander.Register(&configCommand{common: common()}, "changes")
	commander.Register(&historyCommand{common: common()}, "changes")
	commander.Register(&statusCommand{common: common()}, "state")
	commander.Register(&nodesCommand{common: common()}, "state")
	commander.Register(&explainCommand{common: common()}, "state")
}

// common holds what all subcommands share.
type common struct {
	output      io.Writer
	errorOutput io.Writer
	node        string
	timeout     time.Duration
	json        bool
}

// SetFlags declares the flags that all subcommands share.
func (c *common) SetFlags(flags *flag.FlagSet) {
	node := os.Getenv(nodeVariable)
	if node == "" {
		node = defaultNode
	}
	flags.StringVar(&c.node, "node", node, "a node's operator listener, as host:port; any node will do; "+nodeVariable+" in the environment replaces the default")
	flags.DurationVar(&c.timeout, "timeout", operator.DefaultClientTimeout, "longest wait for the node's answer")
	flags.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *common) client() *operator.Client { return operator.NewClient(c.node, c.timeout) }

// usage prints a usage error.
func (c *common) usage(format string, arguments ...any) subcommands.ExitStatus {
	c.complain(format, arguments...)
	return subcommands.ExitUsageError
}

func (c *common) complain(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.errorOutput, "banksailctl: "+format+"\n", arguments...)
}

// print writes to standard output.
func (c *common) print(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.output, format, arguments...)
}

// printJSON writes a document.
func (c *common) printJSON(value any) subcommands.ExitStatus {
	encoder := json.NewEncoder(c.output)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		c.complain("%v", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// fail prints an error and returns the exit status that fits it.
func (c *common) fail(err error) subcommands.ExitStatus {
	var answered *operator.ProblemError
	if !errors.As(err, &answered) {
		c.complain("%v", err)
		return subcommands.ExitFailure
	}
	if c.json {
		c.printJSON(answered.Problem)
	} else {
		c.printProblem(answered.Problem)
	}
	if answered.Problem.AskAgain != "" {
		return exitUnknown
	}
	return subcommands.ExitFailure
}

// failDocument reports a document that can't be read; nothing was sent.
func (c *common) failDocument(path string, err error) subcommands.ExitStatus {
	var invalid *policy.ValidationError
	if !errors.As(err, &invalid) {
		c.complain("%s: %v", path, err)
		return subcommands.ExitFailure
	}
	c.complain("%s is not valid", path)
	c.printFaults(invalid.Faults)
	return subcommands.ExitFailure
}

func (c *common) printFaults(faults []policy.Fault) {
	for _, fault := range faults {
		c.complain("  %s: %s", fault.Field, fault.Problem)
	}
}

func (c *common) printProblem(problem operator.Problem) {
	c.complain("%s", problem.Title)
	c.printFaults(problem.Faults)
	if len(problem.Faults) == 0 {
		c.complain("  %s", problem.Detail)
	}
	if problem.Conflict != nil {
		c.printConflict(*problem.Conflict)
	}
	if problem.AskAgain != "" {
		c.complain("ask again with: %s", problem.AskAgain)
	}
}

func (c *common) printConflict(conflict operator.Conflict) {
	c.complain("planned for revision %d, now %d; changes in between:", conflict.Base, conflict.Current)
	if conflict.Truncated {
		c.complain("  (older changes are no longer in the history)")
	}
	for _, entry := range conflict.Between {
		c.complain("  revision %d by %s at %s %s", entry.Revision, entry.Author, entry.ConfirmedAt.Format(time.RFC3339), entry.Note)
		for _, line := range entry.Summary {
			c.complain("    %s", line)
		}
	}
	c.complain("make a new plan from the same intent")
}

// oneArgument checks that exactly one argument was given.
func oneArgument(flags *flag.FlagSet) (string, error) {
	if flags.NArg() != 1 {
		return "", fmt.Errorf("one argument is needed, %d given", flags.NArg())
	}
	return flags.Arg(0), nil
}

// noArguments checks that none was given.
func noArguments(flags *flag.FlagSet) error {
	if flags.NArg() != 0 {
		return fmt.Errorf("no argument is taken, %d given", flags.NArg())
	}
	return nil
}

// query runs a read that takes no argument.
func query[T any](ctx context.Context, c *common, flags *flag.FlagSet, read func(context.Context) (T, error), show func(T)) subcommands.ExitStatus {
	if err := noArguments(flags); err != nil {
		return c.usage("%v", err)
	}
	value, err := read(ctx)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		return c.printJSON(value)
	}
	show(value)
	return subcommands.ExitSuccess
}
