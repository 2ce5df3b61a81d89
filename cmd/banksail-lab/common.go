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

// errUnexpectedArgument is returned if a subcommand without arguments is given one.
var errUnexpectedArgument = errors.New("unexpected argument")

// placementFlags are the flags that select a profile and the addresses of its back ends.
type placementFlags struct {
	profileName string
	host        string
	basePort    int
}

// registerFlags defines the flags.
func (f *placementFlags) registerFlags(flags *flag.FlagSet) {
	flags.StringVar(&f.profileName, "profile", profile.Small, "profile: "+strings.Join(profile.Names(), ", "))
	flags.StringVar(&f.host, "host", profile.DefaultHost, "IP number of the back ends")
	flags.IntVar(&f.basePort, "base-port", profile.DefaultBasePort, "port of the first back end; the others follow")
}

// loadProfile returns the selected profile and its configuration, with the addresses of the back
// ends.
func (f *placementFlags) loadProfile() (profile.Profile, policy.Config, error) {
	chosen, err := profile.Get(f.profileName)
	if err != nil {
		return profile.Profile{}, policy.Config{}, err
	}
	config, err := chosen.Config(profile.Placement{Host: f.host, BasePort: f.basePort})
	return chosen, config, err
}

// exitStatus prints the error, if any, prefixed with the program's name, and returns the exit
// status: success, ExitUsageError for an unexpected argument, or ExitFailure.
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

// requireNoArguments returns errUnexpectedArgument if there are arguments besides flags.
func requireNoArguments(flags *flag.FlagSet) error {
	if flags.NArg() == 0 {
		return nil
	}
	return fmt.Errorf("%w: %q", errUnexpectedArgument, flags.Arg(0))
}

// callOnce sends one call on a new connection, which is closed afterwards.
func callOnce(ctx context.Context, call httpcall.Call) (httpcall.Reply, error) {
	transport := httpcall.NewTransport(nil, 1)
	defer transport.CloseIdleConnections()
	return httpcall.Send(ctx, transport, call)
}

// stringList is a flag value that collects the values of a repeated flag.
type stringList []string

// String returns the values joined with commas.
func (l *stringList) String() string {
	return strings.Join(*l, ",")
}

// Set appends a value.
func (l *stringList) Set(value string) error {
	*l = append(*l, value)
	return nil
}
