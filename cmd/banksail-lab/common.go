package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/internal/httpcall"
	"github.com/banksail/banksail/lab/profile"
	"github.com/banksail/banksail/policy"
)

// errUnexpectedArgument: a subcommand was given something that is no flag.
var errUnexpectedArgument = errors.New("unexpected argument")

// placementFlags are the flags that pick a profile and its addresses.
type placementFlags struct {
	profileName string
	host        string
	basePort    int
}

func (f *placementFlags) registerFlags(flags *flag.FlagSet) {
	flags.StringVar(&f.profileName, "profile", profile.Small, "profile: "+strings.Join(profile.Names(), ", "))
	flags.StringVar(&f.host, "host", profile.DefaultHost, "IP number of the back ends")
	flags.IntVar(&f.basePort, "base-port", profile.DefaultBasePort, "port of the first back end; the others follow")
}

// loadProfile returns the profile and its configuration.
func (f *placementFlags) loadProfile() (profile.Profile, policy.Config, error) {
	chosen, err := profile.Get(f.profileName)
	if err != nil {
		return profile.Profile{}, policy.Config{}, err
	}
	config, err := chosen.Config(profile.Placement{Host: f.host, BasePort: f.basePort})
	return chosen, config, err
}

// exitStatus prints an error and returns the command's exit status.
func exitStatus(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, "banksail-lab:", err)
	if errors.Is(err, errUnexpectedArgument) {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// requireNoArguments refuses arguments that are no flags.
func requireNoArguments(flags *flag.FlagSet) error {
	if flags.NArg() == 0 {
		return nil
	}
	return fmt.Errorf("%w: %q", errUnexpectedArgument, flags.Arg(0))
}

// callOnce sends one call on a connection of its own.
func callOnce(ctx context.Context, call httpcall.Call) (httpcall.Reply, error) {
	transport := httpcall.NewTransport(nil, 1)
	defer transport.CloseIdleConnections()
	return httpcall.Send(ctx, transport, call)
}

// stringList is a flag that may be given several times.
type stringList []string

// String joins the values.
func (l *stringList) String() string {
	return strings.Join(*l, ",")
}

// Set adds a value.
func (l *stringList) Set(value string) error {
	*l = append(*l, value)
	return nil
}
