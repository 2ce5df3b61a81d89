package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/store"
)

// storeCommand emulates the key-value service, in memory.
type storeCommand struct {
	address        string
	callsPerSecond float64
}

// Name implements subcommands.Command.
func (*storeCommand) Name() string { return "store" }

// Synopsis implements subcommands.Command.
func (*storeCommand) Synopsis() string { return "serve the key-value service" }

// Usage implements subcommands.Command.
func (*storeCommand) Usage() string {
	return `store [flags]:
  Serve the key-value service, in memory, until a signal.

  Example: banksail-lab store --address 127.0.0.1:20001

`
}

// SetFlags implements subcommands.Command.
func (c *storeCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.address, "address", "127.0.0.1:20001", "IP number and port to listen on")
	flags.Float64Var(&c.callsPerSecond, "rate", 0, "calls a second that are served; 0 means no bound")
}

// Execute implements subcommands.Command.
func (c *storeCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := requireNoArguments(flags); err != nil {
		return exitStatus(err)
	}
	memory := store.NewMemory(store.MemoryOptions{})
	memory.SetFaults(store.MemoryFaults{CallsPerSecond: c.callsPerSecond})
	group, ctx := errgroup.WithContext(ctx)
	if err := serveUntilDone(ctx, group, c.address, emulator.NewStoreServer(memory)); err != nil {
		return exitStatus(err)
	}
	fmt.Printf("serving the key-value service at %s\n", c.address)
	return exitStatus(group.Wait())
}
