package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/platform/standin"
)

// platformCommand emulates the users' platform: its store, and servers that register themselves
// there.
type platformCommand struct {
	address  string
	basePort int
	services string
	zones    string
}

// Name implements subcommands.Command.
func (*platformCommand) Name() string { return "platform" }

// Synopsis implements subcommands.Command.
func (*platformCommand) Synopsis() string {
	return "serve the users' platform: its store and servers"
}

// Usage implements subcommands.Command.
func (*platformCommand) Usage() string {
	return `platform [flags]:
  Serve the store of the users' platform, and servers that keep their entries in
  it, until a signal. The operator's configuration is written by a call to the
  store; scripts/demo-routes.sh shows one.

  Example: banksail-lab platform --address 127.0.0.1:21500 --base-port 21501 --services shard-1=2,shard-2=2,orders=1

`
}

// SetFlags implements subcommands.Command.
func (c *platformCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.address, "address", "127.0.0.1:21500", "IP number and port of the store")
	flags.IntVar(&c.basePort, "base-port", 21501, "port of the first server; the others follow")
	flags.StringVar(&c.services, "services", "shard-1=2,shard-2=2,shard-3=2,orders=2", "services with their numbers of servers")
	flags.StringVar(&c.zones, "zones", "zone-a,zone-b", "zones, which a service's servers take in turn")
}

// Execute implements subcommands.Command.
func (c *platformCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := requireNoArguments(flags); err != nil {
		return exitStatus(err)
	}
	return exitStatus(c.run(ctx))
}

func (c *platformCommand) run(ctx context.Context) error {
	store := standin.NewStore()
	defer store.Close()
	listener, err := net.Listen("tcp", c.address)
	if err != nil {
		return fmt.Errorf("--address: %w", err)
	}
	server := &http.Server{Handler: store}
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	if err := c.startServers(store); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-serveErrors:
		return err
	}
}

// startServers starts the servers of all services given with --services, on consecutive ports. They
// run until the process exits.
func (c *platformCommand) startServers(store *standin.Store) error {
	zones := strings.Split(c.zones, ",")
	port := c.basePort
	for entry := range strings.SplitSeq(c.services, ",") {
		name, count, err := parseService(entry)
		if err != nil {
			return err
		}
		for number := range count {
			listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
			if err != nil {
				return fmt.Errorf("--base-port: %w", err)
			}
			standin.StartServer(store, standin.ServerName(name, number), name, zones[number%len(zones)], listener)
			port++
		}
	}
	return nil
}

// errInvalidService is returned if an entry of --services is invalid.
var errInvalidService = errors.New("--services")

// parseService parses NAME=COUNT.
func parseService(entry string) (name string, count int, err error) {
	name, number, given := strings.Cut(entry, "=")
	count, err = strconv.Atoi(number)
	if !given || name == "" || err != nil || count < 1 {
		return "", 0, fmt.Errorf("%w: %q must be NAME=COUNT with at least one server", errInvalidService, entry)
	}
	return name, count, nil
}
