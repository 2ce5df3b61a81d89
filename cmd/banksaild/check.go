package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/settings"
)

// checkCommand validates a settings file, with overrides from flags, and prints every fault.
type checkCommand struct {
	file      string
	overrides map[string]string
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a settings file and print every fault" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return `banksaild check --settings FILE [--SETTING=VALUE ...]

Checks the settings as serve would read them. Prints every fault with the path
of its setting and exits with code 1 when there is one.

Example:
  banksaild check --settings node.yaml

`
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.file, "settings", "", "settings file in YAML")
	c.overrides = settings.RegisterFlags(flags)
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !requireNoArguments(flags) {
		return subcommands.ExitUsageError
	}
	if _, err := settings.LoadFile(c.file, c.overrides); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println("the settings are valid")
	return subcommands.ExitSuccess
}
