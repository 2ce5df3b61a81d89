package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"path"
	"strconv"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/lab/profile"
	"github.com/banksail/banksail/policy"
)

// backendsCommand emulates the back ends of a profile in one process.
type backendsCommand struct {
	placement         placementFlags
	serverPattern     string
	seed              uint64
	snapshotCount     int
	serviceTimeMeanMS float64
	drainDuration     time.Duration
}

// inFlightTimeout is the longest wait for in-flight requests after a server's drain period.
const inFlightTimeout = 10 * time.Second

// Name implements subcommands.Command.
func (*backendsCommand) Name() string { return "backends" }

// Synopsis implements subcommands.Command.
func (*backendsCommand) Synopsis() string { return "serve the back ends of a profile" }

// Usage implements subcommands.Command.
func (*backendsCommand) Usage() string {
	return `backends [flags]:
  Serve the back ends of a profile in one process, one port each, until a signal.
  Each takes fault switches at POST /v1/faults and shows its execution history
  at GET /v1/executions. The first signal stops them: at once, or with --drain
  after they have told for that long that they leave and refused new work.

  Example: banksail-lab backends --profile small --base-port 21000

`
}

// SetFlags implements subcommands.Command.
func (c *backendsCommand) SetFlags(flags *flag.FlagSet) {
	c.placement.registerFlags(flags)
	flags.StringVar(&c.serverPattern, "only", "*", "pattern of the server IDs to serve, as in path.Match")
	flags.Uint64Var(&c.seed, "seed", 1, "seed of service times and faults")
	flags.IntVar(&c.snapshotCount, "snapshots", 1, "highest snapshot held; those from 1 to it are")
	flags.DurationVar(&c.drainDuration, "drain", 0, "how long a signal makes the back ends drain before they stop; 0 stops them at once")
	flags.Float64Var(&c.serviceTimeMeanMS, "service-ms", 0, "mean service time in milliseconds; 0 keeps the profile's")
}

// Execute implements subcommands.Command.
func (c *backendsCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := requireNoArguments(flags); err != nil {
		return exitStatus(err)
	}
	return exitStatus(c.run(ctx))
}

func (c *backendsCommand) run(ctx context.Context) error {
	chosen, config, err := c.placement.loadProfile()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	count := 0
	for _, service := range config.Services {
		tier, _ := chosen.Tier(service.Name)
		started, err := c.startService(ctx, group, chosen, tier, service)
		if err != nil {
			return err
		}
		count += started
	}
	fmt.Printf("serving %d back ends of profile %s\n", count, chosen.Name)
	return group.Wait()
}

// startService starts the servers of one service whose IDs match the flag --only, and returns their
// number.
func (c *backendsCommand) startService(
	ctx context.Context, group *errgroup.Group, chosen profile.Profile, tier profile.Tier, service policy.Service,
) (int, error) {
	count := 0
	for _, shard := range service.Groups {
		for _, member := range shard.Servers {
			matched, err := path.Match(c.serverPattern, member.ID)
			if err != nil {
				return 0, fmt.Errorf("--only: %w", err)
			}
			if !matched {
				continue
			}
			options := c.serverOptions(chosen, tier, shard, member)
			options.Service = service.Name
			if err := c.startServer(ctx, group, member.Address, options); err != nil {
				return 0, err
			}
			count++
		}
	}
	return count, nil
}

// serverOptions returns the options of one emulated server. Its seed depends on its ID, so that
// servers draw different service times and faults.
func (c *backendsCommand) serverOptions(
	chosen profile.Profile, tier profile.Tier, shard policy.Group, member policy.Server,
) emulator.ServerOptions {
	serviceTime := tier.ServiceTime
	if c.serviceTimeMeanMS > 0 {
		serviceTime.Mean = policy.Milliseconds(c.serviceTimeMeanMS)
		serviceTime.Maximum = 0
	}
	return emulator.ServerOptions{
		ID:              member.ID,
		Ranges:          []coverage.Range{shard.Range},
		Snapshots:       snapshotsUpTo(c.snapshotCount),
		Slots:           member.Slots,
		Connections:     member.Connections,
		ConnectionSetup: chosen.Network.NewConnection,
		ServiceTime:     serviceTime,
		Incarnation:     strconv.FormatInt(time.Now().UnixNano(), 36),
		Seed:            c.seed + hashID(member.ID),
	}
}

// startServer starts one emulated server, which drains before it closes if --drain is given.
func (c *backendsCommand) startServer(
	ctx context.Context, group *errgroup.Group, address string, options emulator.ServerOptions,
) error {
	server, err := emulator.NewServer(options)
	if err != nil {
		return err
	}
	if c.drainDuration <= 0 {
		return serveUntilDone(ctx, group, address, server)
	}
	return serveUntilDone(ctx, group, address, drainingServer{Server: server, drainDuration: c.drainDuration})
}

// drainingServer is an emulated server that drains for drainDuration before it closes.
type drainingServer struct {
	*emulator.Server
	drainDuration time.Duration
}

// Close drains the server, waits up to inFlightTimeout for requests in flight, and closes it.
func (s drainingServer) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.drainDuration+inFlightTimeout)
	defer cancel()
	return errors.Join(s.Drain(ctx, s.drainDuration), s.Server.Close())
}

// standIn is an emulated server, key-value service or machine list.
type standIn interface {
	Serve(listener net.Listener) error
	Close() error
}

// serveUntilDone listens on the address and serves in the background until ctx is done. The
// group collects the server's errors.
func serveUntilDone(ctx context.Context, group *errgroup.Group, address string, server standIn) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return nil
}

// snapshotsUpTo returns the snapshots from 1 to count, at least snapshot 1.
func snapshotsUpTo(count int) []uint64 {
	snapshots := make([]uint64, 0, max(1, count))
	for index := range max(1, count) {
		snapshots = append(snapshots, uint64(index+1))
	}
	return snapshots
}
