package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

// unknownVersion is printed if the binary has no build information or no VCS revision.
const unknownVersion = "unknown"

// versionCommand prints the module version, VCS revision and Go version of the binary.
type versionCommand struct{}

// Name implements subcommands.Command.
func (*versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*versionCommand) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*versionCommand) Usage() string {
	return `banksaild version

Prints the module's version, the revision it was built from, and the Go version.

Example:
  banksaild version

`
}

// SetFlags implements subcommands.Command.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*versionCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !requireNoArguments(flags) {
		return subcommands.ExitUsageError
	}
	info, known := debug.ReadBuildInfo()
	if !known {
		fmt.Println("banksaild", unknownVersion)
		return subcommands.ExitSuccess
	}
	revision := unknownVersion
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	fmt.Printf("banksaild %s revision %s %s\n", info.Main.Version, revision, info.GoVersion)
	return subcommands.ExitSuccess
}
