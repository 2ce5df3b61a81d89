package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/front"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/platform"
	"github.com/banksail/banksail/telemetry"
)

// serveCommand runs a node until SIGTERM or SIGINT.
type serveCommand struct {
	log                logOptions
	disabledMechanisms string
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run the node" }
func (*serveCommand) Usage() string    { return "serve [-log-level LEVEL]: runs until SIGTERM\n" }

func (c *serveCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.log.level, "log-level", "info", "least level of the lines that are written")
	flags.StringVar(&c.disabledMechanisms, "without", "", "for diagnosis: mechanisms to switch off, separated by commas: "+strings.Join(mechanism.Names(), ", "))
	flags.IntVar(&c.log.linesPerSecond, "log-lines", telemetry.DefaultLinesPerSecond, "most lines a second; others are dropped and counted")
	flags.IntVar(&c.log.bytesPerSecond, "log-bytes", telemetry.DefaultBytesPerSecond, "most bytes a second; others are dropped and counted")
}

// gcPercent is the garbage collector's target percentage, as in debug.SetGCPercent. It is lower
// than Go's default of 100, as peak memory matters more here than processor time.
const gcPercent = 50

// runtimeMemoryShare is the share of the process's memory limit that the Go runtime tries to stay
// within. The program's code and the kernel's buffers need the rest.
const runtimeMemoryShare = 0.7

func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	debug.SetGCPercent(gcPercent)
	disabled, err := mechanism.Parse(c.disabledMechanisms)
	if err != nil {
		return reportFailure(fmt.Errorf("-without: %w", err))
	}
	settings, err := platform.ReadSettings()
	if err != nil {
		return reportFailure(err)
	}
	if settings.Front.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(settings.Front.MemoryBytes)))
	}
	d, err := newDaemon(settings, c.log, disabled)
	if err != nil {
		return reportFailure(err)
	}
	if err := d.run(ctx); err != nil {
		return reportFailure(err)
	}
	return subcommands.ExitSuccess
}

// daemon is a node with its logger and the output of its log.
type daemon struct {
	node   *front.Front
	logger zerolog.Logger
	output *telemetry.BoundedWriter
}

// logFlushTimeout bounds the time for writing the remaining log lines on exit.
const logFlushTimeout = 200 * time.Millisecond

// run runs the node until ctx is done or SIGTERM or SIGINT is received. It reloads the settings
// on SIGHUP and when the settings file changes; after a failed reload the last valid settings
// remain in force.
func (d *daemon) run(ctx context.Context) error {
	defer d.output.CloseWithTimeout(logFlushTimeout)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go platform.WatchSettings(ctx, hangups,
		func(changed platform.Settings) { d.node.ApplySettings(changed.Front) },
		func(err error) { d.logger.Error().Err(err).Msg("settings can't be read, the last good ones stay") })
	return d.node.Run(ctx)
}
