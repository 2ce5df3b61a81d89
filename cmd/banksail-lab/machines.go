package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/policy"
)

// errInvalidNode is returned if a --node is not of the form ID=IP:PORT or ID=IP:PORT@ZONE.
var errInvalidNode = errors.New("--node must be ID=IP:PORT or ID=IP:PORT@ZONE")

// machinesCommand serves an emulated machine list.
type machinesCommand struct {
	placement      placementFlags
	address        string
	nodes          stringList
	withoutServers bool
}

// Name implements subcommands.Command.
func (*machinesCommand) Name() string { return "machines" }

// Synopsis implements subcommands.Command.
func (*machinesCommand) Synopsis() string { return "serve the machine list" }

// Usage implements subcommands.Command.
func (*machinesCommand) Usage() string {
	return `machines [flags]:
  Serve the machine list, with the servers of a profile and the given nodes,
  until a signal. PUT and DELETE of /v1/machines/{id} change it.

  Example: banksail-lab machines --address 127.0.0.1:20002 --profile small \
             --node n1=127.0.0.1:20103@zone-a --node n2=127.0.0.1:20203@zone-b

`
}

// SetFlags implements subcommands.Command.
func (c *machinesCommand) SetFlags(flags *flag.FlagSet) {
	c.placement.registerFlags(flags)
	flags.StringVar(&c.address, "address", "127.0.0.1:20002", "IP number and port to listen on")
	flags.Var(&c.nodes, "node", "a node as ID=IP:PORT@ZONE; may be given several times")
	flags.BoolVar(&c.withoutServers, "no-servers", false, "leave the profile's servers out")
}

// Execute implements subcommands.Command.
func (c *machinesCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := requireNoArguments(flags); err != nil {
		return exitStatus(err)
	}
	machines, err := c.machines()
	if err != nil {
		return exitStatus(err)
	}
	group, ctx := errgroup.WithContext(ctx)
	server := emulator.NewMachineListServer(machines...)
	server.RaiseInitialVersion(uint64(time.Now().UnixMilli()))
	if err := serveUntilDone(ctx, group, c.address, server); err != nil {
		return exitStatus(err)
	}
	fmt.Printf("serving a list of %d machines at %s\n", len(machines), c.address)
	return exitStatus(group.Wait())
}

// machines returns the nodes given with --node and, unless --no-servers is given, the profile's
// servers.
func (c *machinesCommand) machines() ([]machinelist.Machine, error) {
	var machines []machinelist.Machine
	for _, text := range c.nodes {
		node, err := parseNode(text)
		if err != nil {
			return nil, err
		}
		machines = append(machines, node)
	}
	if c.withoutServers {
		return machines, nil
	}
	_, config, err := c.placement.loadProfile()
	if err != nil {
		return nil, err
	}
	return append(machines, serverMachines(config)...), nil
}

// serverMachines returns the servers of a configuration as live machines.
func serverMachines(config policy.Config) []machinelist.Machine {
	var machines []machinelist.Machine
	for _, service := range config.Services {
		for _, group := range service.Groups {
			for _, server := range group.Servers {
				machines = append(machines, machinelist.Machine{
					ID: server.ID, Address: server.Address, Zone: server.Zone,
					Role: machinelist.RoleServer, State: machinelist.StateLive,
				})
			}
		}
	}
	return machines
}

// parseNode parses ID=IP:PORT or ID=IP:PORT@ZONE.
func parseNode(text string) (machinelist.Machine, error) {
	id, rest, ok := strings.Cut(text, "=")
	if !ok || id == "" {
		return machinelist.Machine{}, fmt.Errorf("%w: %q", errInvalidNode, text)
	}
	address, zone, _ := strings.Cut(rest, "@")
	if _, _, err := net.SplitHostPort(address); err != nil {
		return machinelist.Machine{}, fmt.Errorf("%w: %q: %w", errInvalidNode, text, err)
	}
	return machinelist.Machine{
		ID: id, Address: address, Zone: zone, Role: machinelist.RoleNode, State: machinelist.StateLive,
	}, nil
}
