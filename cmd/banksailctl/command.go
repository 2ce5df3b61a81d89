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

// exitOutcomeUnknown is the exit status if a change may or may not be in effect.
const exitOutcomeUnknown subcommands.ExitStatus = 3

const (
	// defaultNodeAddress is the default of the flag --node.
	defaultNodeAddress = "127.0.0.1:7102"
	// nodeAddressVariable is the environment variable that overrides defaultNodeAddress.
	nodeAddressVariable = "BANKSAIL_OPERATOR"
)

// register adds all subcommands to the commander, with the given output streams.
func register(commander *subcommands.Commander, output, errorOutput io.Writer) {
	baseCommand := func() baseCommand { return baseCommand{output: output, errorOutput: errorOutput} }
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&planCommand{baseCommand: baseCommand()}, "changes")
	commander.Register(&confirmCommand{baseCommand: baseCommand()}, "changes")
	commander.Register(&configCommand{baseCommand: baseCommand()}, "changes")
	commander.Register(&historyCommand{baseCommand: baseCommand()}, "changes")
	commander.Register(&statusCommand{baseCommand: baseCommand()}, "state")
	commander.Register(&nodesCommand{baseCommand: baseCommand()}, "state")
	commander.Register(&explainCommand{baseCommand: baseCommand()}, "state")
}

// baseCommand holds the flags and output streams that all subcommands share.
type baseCommand struct {
	output      io.Writer
	errorOutput io.Writer
	nodeAddress string
	timeout     time.Duration
	printsJSON  bool
}

// SetFlags defines the flags that all subcommands share.
func (c *baseCommand) SetFlags(flags *flag.FlagSet) {
	node := os.Getenv(nodeAddressVariable)
	if node == "" {
		node = defaultNodeAddress
	}
	flags.StringVar(&c.nodeAddress, "node", node, "a node's operator listener, as host:port; any node will do; "+nodeAddressVariable+" in the environment replaces the default")
	flags.DurationVar(&c.timeout, "timeout", operator.DefaultClientTimeout, "longest wait for the node's answer")
	flags.BoolVar(&c.printsJSON, "json", false, "print JSON")
}

func (c *baseCommand) client() *operator.Client { return operator.NewClient(c.nodeAddress, c.timeout) }

// usageError prints an error in the command line and returns ExitUsageError.
func (c *baseCommand) usageError(format string, arguments ...any) subcommands.ExitStatus {
	c.printError(format, arguments...)
	return subcommands.ExitUsageError
}

// printError writes a line, prefixed with the program's name, to the error output.
func (c *baseCommand) printError(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.errorOutput, "banksailctl: "+format+"\n", arguments...)
}

// print writes formatted text to the standard output.
func (c *baseCommand) print(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.output, format, arguments...)
}

// printJSON writes a value as indented JSON to the standard output.
func (c *baseCommand) printJSON(value any) subcommands.ExitStatus {
	encoder := json.NewEncoder(c.output)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		c.printError("%v", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// reportFailure prints an error, as JSON if requested and if a node reported it, and returns the
// exit status: exitOutcomeUnknown if the problem asks the operator to query the outcome again,
// otherwise ExitFailure.
func (c *baseCommand) reportFailure(err error) subcommands.ExitStatus {
	var problemErr *operator.ProblemError
	if !errors.As(err, &problemErr) {
		c.printError("%v", err)
		return subcommands.ExitFailure
	}
	if c.printsJSON {
		c.printJSON(problemErr.Problem)
	} else {
		c.printProblem(problemErr.Problem)
	}
	if problemErr.Problem.OutcomeCommand != "" {
		return exitOutcomeUnknown
	}
	return subcommands.ExitFailure
}

// reportInvalidDocument prints why an intent or plan file cannot be decoded, and returns
// ExitFailure. It is called before anything is sent to a node.
func (c *baseCommand) reportInvalidDocument(path string, err error) subcommands.ExitStatus {
	var invalid *policy.ValidationError
	if !errors.As(err, &invalid) {
		c.printError("%s: %v", path, err)
		return subcommands.ExitFailure
	}
	c.printError("%s is not valid", path)
	c.printFaults(invalid.Faults)
	return subcommands.ExitFailure
}

func (c *baseCommand) printFaults(faults []policy.Fault) {
	for _, fault := range faults {
		c.printError("  %s: %s", fault.Field, fault.Problem)
	}
}

func (c *baseCommand) printProblem(problem operator.Problem) {
	c.printError("%s", problem.Title)
	c.printFaults(problem.Faults)
	if len(problem.Faults) == 0 {
		c.printError("  %s", problem.Detail)
	}
	if problem.Conflict != nil {
		c.printConflict(*problem.Conflict)
	}
	if problem.OutcomeCommand != "" {
		c.printError("ask again with: %s", problem.OutcomeCommand)
	}
}

func (c *baseCommand) printConflict(conflict operator.Conflict) {
	c.printError("planned for revision %d, now %d; changes in between:", conflict.Base, conflict.Current)
	if conflict.Truncated {
		c.printError("  (older changes are no longer in the history)")
	}
	for _, entry := range conflict.Between {
		c.printError("  revision %d by %s at %s %s", entry.Revision, entry.Author, entry.ConfirmedAt.Format(time.RFC3339), entry.Note)
		for _, line := range entry.Summary {
			c.printError("    %s", line)
		}
	}
	c.printError("make a new plan from the same intent")
}

// requireOneArgument returns the only argument, or an error if the number of arguments is not one.
func requireOneArgument(flags *flag.FlagSet) (string, error) {
	if flags.NArg() != 1 {
		return "", fmt.Errorf("one argument is needed, %d given", flags.NArg())
	}
	return flags.Arg(0), nil
}

// requireNoArguments returns an error if there are arguments besides flags.
func requireNoArguments(flags *flag.FlagSet) error {
	if flags.NArg() != 0 {
		return fmt.Errorf("no argument is taken, %d given", flags.NArg())
	}
	return nil
}

// runQuery runs a subcommand without arguments that reads a value from a node: it calls read and
// prints the result as JSON if requested, otherwise with printValue.
func runQuery[T any](ctx context.Context, c *baseCommand, flags *flag.FlagSet, read func(context.Context) (T, error), printValue func(T)) subcommands.ExitStatus {
	if err := requireNoArguments(flags); err != nil {
		return c.usageError("%v", err)
	}
	value, err := read(ctx)
	if err != nil {
		return c.reportFailure(err)
	}
	if c.printsJSON {
		return c.printJSON(value)
	}
	printValue(value)
	return subcommands.ExitSuccess
}
