// Command banksailctl is the command-line client for operators. It plans and
// confirms changes of the configuration, shows the state of the nodes, and
// explains how requests were executed.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "banksailctl")
	register(commander, os.Stdout, os.Stderr)
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := commander.Execute(ctx)
	stop()
	os.Exit(int(status))
}
