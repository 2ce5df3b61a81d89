package main

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/operator"
	"github.com/banksail/banksail/policy"
)

// statusCommand implements "status", which prints on which nodes the newest revision is in force
// or, with --plan, whether a plan was applied.
type statusCommand struct {
	baseCommand
	planID       string
	baseRevision int64
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "tell where the newest revision is in force" }
func (*statusCommand) Usage() string {
	return `banksailctl status [flags]

Tells the newest revision, on how many live nodes it is in force, and which
nodes are behind. With --plan, tells whether that plan is in effect: exit
status 0 applied, 1 not applied, 3 unknown.

Example:
  banksailctl status
  banksailctl status --plan 3f0c6a0e-7a59-4f7e-9f5e-0a6a3e1d2c4b --base 7

Flags:
`
}

func (s *statusCommand) SetFlags(flags *flag.FlagSet) {
	s.baseCommand.SetFlags(flags)
	flags.StringVar(&s.planID, "plan", "", "ID of a plan whose outcome is asked for")
	flags.Int64Var(&s.baseRevision, "base", -1, "the plan's base revision; needed with --plan")
}

func (s *statusCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s.planID != "" {
		return s.queryOutcome(ctx, flags)
	}
	return runQuery(ctx, &s.baseCommand, flags, s.client().Status, s.printStatus)
}

func (s *statusCommand) printStatus(status operator.Status) {
	s.print("revision %d in force on %d of %d live nodes (asked %s)\n", status.Revision, status.InForce, status.Live, status.Node)
	if len(status.Behind) > 0 {
		s.print("behind: %s\n", strings.Join(status.Behind, ", "))
	}
}

// queryOutcome queries whether the plan was applied and prints the receipt. An error means that the
// outcome is unknown.
func (s *statusCommand) queryOutcome(ctx context.Context, flags *flag.FlagSet) subcommands.ExitStatus {
	if err := requireNoArguments(flags); err != nil {
		return s.usageError("%v", err)
	}
	if s.baseRevision < 0 {
		return s.usageError("--plan needs --base, the plan's base revision")
	}
	receipt, err := s.client().Outcome(ctx, s.planID, policy.Revision(s.baseRevision))
	if err != nil {
		s.reportFailure(err)
		return exitOutcomeUnknown
	}
	if s.printsJSON {
		s.printJSON(receipt)
	} else {
		s.print("plan %s: %s\n", receipt.PlanID, describeReceipt(receipt))
	}
	return exitStatusOf(receipt.Outcome)
}

func describeReceipt(receipt policy.Receipt) string {
	if receipt.Outcome == policy.OutcomeApplied {
		return fmt.Sprintf("applied as revision %d (now %d)", receipt.Revision, receipt.Current)
	}
	return fmt.Sprintf("%s at revision %d; %s", strings.ReplaceAll(string(receipt.Outcome), "_", " "), receipt.Current, receipt.Detail)
}

// exitStatusOf returns the exit status for the outcome of a plan.
func exitStatusOf(outcome policy.Outcome) subcommands.ExitStatus {
	switch outcome {
	case policy.OutcomeApplied:
		return subcommands.ExitSuccess
	case policy.OutcomeNotApplied:
		return subcommands.ExitFailure
	default:
		return exitOutcomeUnknown
	}
}

// nodesCommand implements "nodes", which lists the nodes in the queried node's view.
type nodesCommand struct{ baseCommand }

func (*nodesCommand) Name() string     { return "nodes" }
func (*nodesCommand) Synopsis() string { return "list the nodes with their state and revision" }
func (*nodesCommand) Usage() string {
	return `banksailctl nodes [flags]

Lists the nodes that the asked node knows, with state and revision in force.

Example:
  banksailctl nodes --node 10.0.0.5:7102

Flags:
`
}

func (n *nodesCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return runQuery(ctx, &n.baseCommand, flags, n.client().Status, n.printNodes)
}

func (n *nodesCommand) printNodes(status operator.Status) {
	table := tabwriter.NewWriter(n.output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "NODE\tZONE\tADDRESS\tSTATE\tREVISION")
	for _, node := range status.Nodes {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\n", node.ID, node.Zone, node.Address, node.State, node.Revision)
	}
	_ = table.Flush()
}
