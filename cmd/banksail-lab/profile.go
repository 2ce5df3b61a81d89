package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"

	"github.com/cespare/xxhash/v2"
	"github.com/google/subcommands"
)

// profileCommand prints a profile's configuration.
type profileCommand struct {
	placement placementFlags
}

// Name returns the subcommand's name.
func (*profileCommand) Name() string { return "profile" }

// Synopsis returns one line of help.
func (*profileCommand) Synopsis() string { return "print the configuration of a profile" }

// Usage returns the help.
func (*profileCommand) Usage() string {
	return `profile [flags]:
  Print a profile's configuration as JSON, with the addresses that the
  subcommand backends serves under the same flags.

  Example: banksail-lab profile --profile bluemahoe > configuration.json

`
}

// SetFlags declares the flags.
func (c *profileCommand) SetFlags(flags *flag.FlagSet) {
	c.placement.register(flags)
}

// Execute runs the subcommand.
func (c *profileCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments(flags); err != nil {
		return finish(err)
	}
	_, config, err := c.placement.load()
	if err != nil {
		return finish(err)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return finish(encoder.Encode(config))
}

// hashID gives each server its own seed.
func hashID(id string) uint64 {
	return xxhash.Sum64String(id)
}
