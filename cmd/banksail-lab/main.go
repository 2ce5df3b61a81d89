// Command banksail-lab is the test tool of banksail. It runs stand-ins for the systems that a node
// talks to, sends load, checks recorded runs and soak runs against invariants, runs simulated
// experiments, and records and replays traces.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"path"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, path.Base(os.Args[0]))
	register(commander)
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := commander.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// register adds all subcommands to the commander.
func register(commander *subcommands.Commander) {
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	commander.Register(&backendsCommand{}, "stand-ins")
	commander.Register(&storeCommand{}, "stand-ins")
	commander.Register(&machinesCommand{}, "stand-ins")
	commander.Register(&platformCommand{}, "stand-ins")
	commander.Register(&profileCommand{}, "stand-ins")
	commander.Register(&faultCommand{}, "stand-ins")
	commander.Register(&loadCommand{}, "load")
	commander.Register(&observeCommand{}, "judging runs")
	commander.Register(&collectCommand{}, "judging runs")
	commander.Register(&judgeCommand{}, "judging runs")
	commander.Register(&soakCommand{}, "judging runs")
	commander.Register(&experimentCommand{}, "experiments")
	commander.Register(&recordCommand{}, "experiments")
	commander.Register(&replayCommand{}, "experiments")
}
