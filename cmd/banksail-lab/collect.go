package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"path"
	"time"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/internal/httpcall"
	"github.com/banksail/banksail/internal/strictjson"
	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/operator"
	"github.com/banksail/banksail/policy"
)

const (
	collectTimeout     = 10 * time.Second
	maxExecutionsBytes = 256 << 20
)

// Errors of the subcommand collect.
var (
	errHistoryIncomplete  = errors.New("execution history is incomplete")
	errHistoryUnavailable = errors.New("cannot read execution history")
)

// collectCommand writes the execution histories of back ends and the accepted configuration changes
// to a journal.
type collectCommand struct {
	placement       placementFlags
	serverPattern   string
	operatorAddress string
	outputPath      string
}

// Name implements subcommands.Command.
func (*collectCommand) Name() string { return "collect" }

// Synopsis implements subcommands.Command.
func (*collectCommand) Synopsis() string { return "record what back ends ran and what was accepted" }

// Usage implements subcommands.Command.
func (*collectCommand) Usage() string {
	return `collect [flags]:
  Read the execution histories of a profile's back ends and, with --operator,
  the accepted changes of the configuration from a node, and write them to a
  journal for the subcommand judge. A back end forgets when it ends: collect
  before that, once from each process.

  Example: banksail-lab collect --profile small --base-port 21000 --operator 127.0.0.1:20102 --out ran.jsonl
  Example: banksail-lab collect --only catalog-g03-r00 --out ran-before.jsonl

`
}

// SetFlags implements subcommands.Command.
func (c *collectCommand) SetFlags(flags *flag.FlagSet) {
	c.placement.registerFlags(flags)
	flags.StringVar(&c.serverPattern, "only", "*", "pattern of the server IDs, as in path.Match")
	flags.StringVar(&c.operatorAddress, "operator", "", "IP number and port of a node's operator API")
	flags.StringVar(&c.outputPath, "out", "ran.jsonl", "journal to write")
}

// Execute implements subcommands.Command.
func (c *collectCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := requireNoArguments(flags); err != nil {
		return exitStatus(err)
	}
	return exitStatus(withJournal(c.outputPath, func(journal *history.Journal) error { return c.run(ctx, journal) }))
}

func (c *collectCommand) run(ctx context.Context, journal *history.Journal) error {
	_, config, err := c.placement.loadProfile()
	if err != nil {
		return err
	}
	for _, machine := range serverMachines(config) {
		matched, err := path.Match(c.serverPattern, machine.ID)
		if err != nil {
			return fmt.Errorf("--only: %w", err)
		}
		if !matched {
			continue
		}
		if err := collectExecutions(ctx, machine.Address, journal); err != nil {
			return fmt.Errorf("%s: %w", machine.ID, err)
		}
	}
	if c.operatorAddress == "" {
		return nil
	}
	writeKeySpaces(config, journal)
	return collectAcceptedChanges(ctx, c.operatorAddress, journal)
}

// writeKeySpaces writes the key space of each service to the journal.
func writeKeySpaces(config policy.Config, journal *history.Journal) {
	for _, service := range config.Services {
		journal.Write(history.Entry{KeySpace: &history.KeySpace{Service: service.Name, Range: service.KeySpace}})
	}
}

// collectAcceptedChanges reads the accepted configuration changes from the operator API of a node
// and writes them to the journal. Their times are from the wall clocks of the confirming nodes,
// which agree if all nodes run on one machine.
func collectAcceptedChanges(ctx context.Context, address string, journal *history.Journal) error {
	accepted, err := operator.NewClient(address, collectTimeout).History(ctx)
	if err != nil {
		return err
	}
	for _, entry := range accepted.Entries {
		journal.Write(history.Entry{Accepted: &history.Accepted{
			Revision: uint64(entry.Revision), PlanID: entry.PlanID,
			At: time.Duration(entry.ConfirmedAt.UnixNano()),
		}})
	}
	return nil
}

// collectExecutions reads the execution history of one back end and writes it to the journal. The
// back end does not know when the node sent a sub-request, so its arrival time is also used as its
// send time. It returns errHistoryIncomplete if the back end has evicted entries.
func collectExecutions(ctx context.Context, address string, journal *history.Journal) error {
	executions, err := readExecutions(ctx, address)
	if err != nil {
		return err
	}
	if executions.Dropped > 0 {
		return fmt.Errorf("%w: %d executions were evicted", errHistoryIncomplete, executions.Dropped)
	}
	for _, execution := range executions.Executions {
		arrived := time.Duration(execution.ArrivedUnixNanoseconds)
		journal.Write(history.Entry{Attempt: &history.Attempt{
			Server: execution.Server, AttemptID: execution.AttemptID, RequestID: execution.RequestID,
			Service: execution.Service, Snapshot: execution.Snapshot, Range: execution.Range,
			SentAt: arrived, ArrivedAt: arrived, Executed: execution.Executed, Status: execution.Outcome,
		}})
	}
	return nil
}

// readExecutions reads the execution history of one back end.
func readExecutions(ctx context.Context, address string) (emulator.ExecutionHistory, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var executions emulator.ExecutionHistory
	reply, err := callOnce(ctx, httpcall.Call{Address: address, Path: emulator.ExecutionsPath, MaxBodyBytes: maxExecutionsBytes})
	if err != nil {
		return executions, err
	}
	if reply.Code != http.StatusOK {
		return executions, fmt.Errorf("%w: HTTP status %d", errHistoryUnavailable, reply.Code)
	}
	return executions, strictjson.Unmarshal(reply.Body, strictjson.Limits{Bytes: maxExecutionsBytes}, &executions)
}
