package main

import (
	"context"
	"errors"
	"flag"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/directory"
	"github.com/banksail/banksail/platform"
	"github.com/banksail/banksail/telemetry"
)

type directoryCommand struct{ level string }

func (*directoryCommand) Name() string { return "directory" }
func (*directoryCommand) Synopsis() string {
	return "tell callers where to connect, as the node on the same machine knows it"
}
func (*directoryCommand) Usage() string {
	return "directory [-log-level LEVEL]: runs until SIGTERM\n"
}

func (c *directoryCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.level, "log-level", "info", "least level of the lines that are written")
}

const (
	// directoryHeaderTime bounds how long a caller's header may take, and
	// directoryIdleTime how long its connection may rest.
	directoryHeaderTime = 3 * time.Second
	directoryIdleTime   = time.Minute
	// directoryLeaveTime is how long a directory that ends goes on answering callers that
	// still know it.
	directoryLeaveTime = 2 * time.Second
)

func (c *directoryCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := platform.ReadDirectorySettings()
	if err != nil {
		return fail(err)
	}
	logger, err := telemetry.NewLogger(os.Stdout, c.level, settings.Machine)
	if err != nil {
		return fail(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", settings.Directory)
	if err != nil {
		return fail(err)
	}
	node := directory.NewRemote(settings.Node, nil)
	defer node.Close()
	server := &http.Server{
		Handler:           platform.Directory(node),
		ReadHeaderTimeout: directoryHeaderTime,
		IdleTimeout:       directoryIdleTime,
	}
	go func() {
		<-ctx.Done()
		logger.Info().Msg("stopping")
		time.Sleep(directoryLeaveTime)
		_ = server.Close() // callers ask another directory
	}()
	logger.Info().Str("callers", settings.Directory).Str("node", settings.Node).Msg("directory started")
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
