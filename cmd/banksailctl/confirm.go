package main

import (
	"context"
	"errors"
	"flag"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/operator"
	"github.com/banksail/banksail/policy"
)

// confirmCommand implements "confirm", which applies a plan.
type confirmCommand struct{ baseCommand }

func (*confirmCommand) Name() string     { return "confirm" }
func (*confirmCommand) Synopsis() string { return "put a plan into effect" }
func (*confirmCommand) Usage() string {
	return `banksailctl confirm [flags] PLAN-FILE

Puts a plan into effect, unless the configuration changed since it was made.
Confirming a plan twice applies it once. Exit status: 0 applied, 1 refused or
conflict (nothing changed), 2 usage, 3 unknown (it may be in effect; the
command that asks again is printed).

Example:
  banksailctl confirm plan.json

Flags:
`
}

func (c *confirmCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, err := requireOneArgument(flags)
	if err != nil {
		return c.usageError("%v: the plan file", err)
	}
	data, err := readFile(path, policy.MaximumPlanBytes)
	if err != nil {
		return c.usageError("%v", err)
	}
	plan, err := policy.DecodePlan(data)
	if err != nil {
		return c.reportInvalidDocument(path, err)
	}
	receipt, err := c.client().Confirm(ctx, plan)
	if errors.Is(err, operator.ErrNoAnswer) {
		return c.reportUnknownOutcome(plan, err)
	}
	if err != nil {
		return c.reportFailure(err)
	}
	if c.printsJSON {
		return c.printJSON(receipt)
	}
	c.printReceipt(receipt)
	return subcommands.ExitSuccess
}

func (c *confirmCommand) printReceipt(receipt policy.Receipt) {
	if receipt.AlreadyApplied {
		c.print("plan %s was applied already: revision %d\n", receipt.PlanID, receipt.Revision)
		return
	}
	c.print("plan %s applied: revision %d\n", receipt.PlanID, receipt.Revision)
}

// reportUnknownOutcome reports that a confirmation got no response, so that the plan may have been
// applied. It prints the command that queries the outcome and returns exitOutcomeUnknown.
func (c *confirmCommand) reportUnknownOutcome(plan policy.Plan, err error) subcommands.ExitStatus {
	askAgain := operator.OutcomeCommandFor(plan)
	if c.printsJSON {
		c.printJSON(operator.Problem{
			Title:          "The plan may be in effect",
			Detail:         err.Error(),
			Receipt:        &policy.Receipt{PlanID: plan.ID, Outcome: policy.OutcomeUnknown},
			OutcomeCommand: askAgain,
		})
		return exitOutcomeUnknown
	}
	c.printError("%v", err)
	c.printError("the plan may be in effect; ask again with: %s", askAgain)
	return exitOutcomeUnknown
}
