package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/telemetry"
)

// explainCommand implements "explain", which prints how a request was executed and why it ended
// with its result.
type explainCommand struct {
	baseCommand
	logFiles string
}

// SetFlags defines the flags.
func (e *explainCommand) SetFlags(flags *flag.FlagSet) {
	e.baseCommand.SetFlags(flags)
	flags.StringVar(&e.logFiles, "logs", "", "files of nodes' logs, separated by commas, instead of a node; - is the standard input")
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "tell why a request got the answer it got" }
func (*explainCommand) Usage() string {
	return `banksailctl explain [flags] REQUEST-ID

Prints which servers were asked, hedged and cancelled for a request, and why it
stopped. Ask the node that served the request: it keeps the latest ones. With
--logs, reads the logs of several nodes and tells the story in order of time.

Example:
  banksailctl explain --node 10.0.0.5:7102 req-42
  banksailctl explain --logs node-1.log,node-2.log req-42

Flags:
`
}

func (e *explainCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	id, err := requireOneArgument(flags)
	if err != nil {
		return e.usageError("%v: the request ID", err)
	}
	if e.logFiles != "" {
		return e.explainLogs(id)
	}
	document, err := e.client().Explanation(ctx, id)
	if err != nil {
		return e.reportFailure(err)
	}
	var explanation telemetry.Explanation
	if err := json.Unmarshal(document, &explanation); err != nil || e.printsJSON {
		return e.printJSON(document)
	}
	e.printExplanation(explanation)
	return subcommands.ExitSuccess
}

func (e *explainCommand) printExplanation(explanation telemetry.Explanation) {
	e.print("request %s: service %s, class %s, answered by %s\n",
		explanation.RequestID, explanation.Service, explanation.Class, explanation.Node)
	e.print("execution %s, because %s; snapshot %d, coverage %g\n\n",
		explanation.Execution, explanation.Reason, explanation.Snapshot, explanation.Coverage)
	table := tabwriter.NewWriter(e.output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "AFTER\tWHAT\tATTEMPT\tSERVER\tRANGE")
	for _, step := range explanation.Steps {
		_, _ = fmt.Fprintf(table, "%v\t%s\t%s\t%s\t%s\n", step.At, step.Event, attemptText(step), step.Server, rangeText(step))
	}
	_ = table.Flush()
}

// attemptText returns the attempt's ID, or "" for a step without an attempt.
func attemptText(step dispatch.Step) string {
	if step.Attempt == 0 {
		return ""
	}
	return fmt.Sprint(uint64(step.Attempt))
}

// rangeText returns the step's key range, or "" if it is empty.
func rangeText(step dispatch.Step) string {
	if step.Range.Size() == 0 {
		return ""
	}
	return step.Range.String()
}
