package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/node"
	"github.com/banksail/banksail/settings"
)

// serveCommand runs a node until SIGINT or SIGTERM.
type serveCommand struct {
	file      string
	overrides map[string]string
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run a node until SIGINT or SIGTERM stops it" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return `banksaild serve --settings FILE [--SETTING=VALUE ...]

Runs a node. Every setting of the file has a flag of the same name that
overrides it. The first SIGINT or SIGTERM stops the node as planned: it
refuses new and queued queries, finishes the running ones, and exits with
code 0. A second signal ends it at once; the log names what was cut.

Example:
  banksaild serve --settings node.yaml --listen.caller=127.0.0.1:8080

`
}

// SetFlags implements subcommands.Command.
func (s *serveCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&s.file, "settings", "", "settings file in YAML")
	s.overrides = settings.RegisterFlags(flags)
}

// Execute implements subcommands.Command.
func (s *serveCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !requireNoArguments(flags) {
		return subcommands.ExitUsageError
	}
	loaded, err := settings.LoadFile(s.file, s.overrides)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	daemon, err := newDaemon(loaded, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return daemon.run(ctx)
}

// daemon is a node with its logger.
type daemon struct {
	node   *node.Node
	logger zerolog.Logger
}

// run runs the node until ctx is done or SIGINT or SIGTERM is received, and returns the exit
// status: success after a graceful stop, failure if the node was aborted or stopped with an
// error.
func (d *daemon) run(ctx context.Context) subcommands.ExitStatus {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	defer close(done)
	go d.handleSignals(signals, done, stop)
	err := d.node.Run(ctx)
	if err == nil {
		d.logger.Info().Msg("stopped")
		return subcommands.ExitSuccess
	}
	if !errors.Is(err, node.ErrAborted) {
		d.logger.Error().Err(err).Msg("node stopped with an error")
	}
	return subcommands.ExitFailure
}

// handleSignals calls stop on the first signal, for a graceful stop, and aborts the node on the
// second. It returns when done is closed.
func (d *daemon) handleSignals(signals <-chan os.Signal, done <-chan struct{}, stop func()) {
	select {
	case <-done:
		return
	case received := <-signals:
		d.logger.Info().Stringer("signal", received).Msg("planned stop")
		stop()
	}
	select {
	case <-done:
	case received := <-signals:
		d.logger.Warn().Stringer("signal", received).Msg("second signal received, aborting without waiting for running queries")
		d.node.Abort()
	}
}

// requireNoArguments reports whether there are no arguments besides flags, and prints an error
// if there are.
func requireNoArguments(flags *flag.FlagSet) bool {
	if flags.NArg() == 0 {
		return true
	}
	fmt.Fprintf(os.Stderr, "unexpected argument %q\n", flags.Arg(0))
	return false
}
