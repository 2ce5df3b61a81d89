package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"

	"github.com/cespare/xxhash/v2"
	"github.com/google/subcommands"

	"github.com/banksail/banksail/policy"
)

// profileCommand prints a profile's configuration, or an intent that sets it, as JSON.
type profileCommand struct {
	placement placementFlags
	asIntent  bool
	author    string
}

// Name implements subcommands.Command.
func (*profileCommand) Name() string { return "profile" }

// Synopsis implements subcommands.Command.
func (*profileCommand) Synopsis() string { return "print the configuration of a profile" }

// Usage implements subcommands.Command.
func (*profileCommand) Usage() string {
	return `profile [flags]:
  Print a profile's configuration as JSON, with the addresses that the
  subcommand backends serves under the same flags.

  Example: banksail-lab profile --profile bluemahoe > configuration.json
  Example: banksail-lab profile --intent > intent.json && banksailctl plan intent.json

`
}

// SetFlags implements subcommands.Command.
func (c *profileCommand) SetFlags(flags *flag.FlagSet) {
	c.placement.registerFlags(flags)
	flags.BoolVar(&c.asIntent, "intent", false, "print an intent that replaces the whole configuration")
	flags.StringVar(&c.author, "author", "banksail-lab", "author of the intent")
}

// Execute implements subcommands.Command.
func (c *profileCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := requireNoArguments(flags); err != nil {
		return exitStatus(err)
	}
	chosen, config, err := c.placement.loadProfile()
	if err != nil {
		return exitStatus(err)
	}
	var document any = config
	if c.asIntent {
		document = policy.Intent{
			Author:  c.author,
			Note:    "profile " + chosen.Name,
			Changes: []policy.Change{{Replace: &config}},
		}
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return exitStatus(encoder.Encode(document))
}

// hashID returns a hash of a server's ID, which is added to the seed so that servers have different
// seeds.
func hashID(id string) uint64 {
	return xxhash.Sum64String(id)
}
