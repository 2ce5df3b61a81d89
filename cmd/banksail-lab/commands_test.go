package main

import (
	"flag"
	"io"
	"strings"
	"testing"

	"github.com/google/subcommands"
)

// Every subcommand has an example in its help and rejects unknown flags.
func TestEveryCommandHasExampleAndRejectsUnknownFlags(t *testing.T) {
	commander := subcommands.NewCommander(flag.NewFlagSet("banksail-lab", flag.ContinueOnError), "banksail-lab")
	commander.Output, commander.Error = io.Discard, io.Discard
	register(commander)
	commander.VisitCommands(func(_ *subcommands.CommandGroup, command subcommands.Command) {
		switch command.Name() {
		case "help", "flags", "commands":
			return
		}
		t.Run(command.Name(), func(t *testing.T) {
			if !strings.Contains(command.Usage(), "Example") {
				t.Error("the help has no example")
			}
			flags := flag.NewFlagSet(command.Name(), flag.ContinueOnError)
			flags.SetOutput(io.Discard)
			command.SetFlags(flags)
			if err := flags.Parse([]string{"--no-such-flag"}); err == nil {
				t.Error("an unknown flag was accepted")
			}
		})
	})
}
