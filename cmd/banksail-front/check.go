package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/platform"
)

// checkCommand validates the settings file and prints the error, if any.
type checkCommand struct{}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check the settings file" }
func (*checkCommand) Usage() string {
	return "check: reads the settings file and names what is wrong\n"
}
func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (*checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := platform.ReadSettings(); err != nil {
		return reportFailure(err)
	}
	fmt.Println("the settings are valid")
	return subcommands.ExitSuccess
}
