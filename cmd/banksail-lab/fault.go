package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/internal/httpcall"
	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/policy"
)

// Errors of the subcommand fault.
var (
	errInvalidSwitch = errors.New("a fault switch must be NAME=VALUE, with a string or a JSON value")
	errNoTargets     = errors.New("no stand-in selected: use --address, or --server with a pattern that matches a server ID")
	errFaultRejected = errors.New("fault request rejected")
)

const (
	faultTimeout          = 5 * time.Second
	maxFaultResponseBytes = 1 << 20
)

// faultCommand reads or sets the fault switches of running stand-ins.
type faultCommand struct {
	placement     placementFlags
	addresses     stringList
	serverPattern string
	resetFirst    bool
}

// Name implements subcommands.Command.
func (*faultCommand) Name() string { return "fault" }

// Synopsis implements subcommands.Command.
func (*faultCommand) Synopsis() string { return "read or set fault switches of running stand-ins" }

// Usage implements subcommands.Command.
func (*faultCommand) Usage() string {
	return `fault [flags] [NAME=VALUE ...]:
  Set fault switches of running stand-ins, by address or, for back ends, by a
  pattern of server IDs of a profile. Without a switch, print them.

  Example: banksail-lab fault --server 'catalog-g03-*' straggle_factor=50
  Example: banksail-lab fault --address 127.0.0.1:20001 lose_replies=1
  Example: banksail-lab fault --server 'catalog-g03-*' --reset

`
}

// SetFlags implements subcommands.Command.
func (c *faultCommand) SetFlags(flags *flag.FlagSet) {
	c.placement.registerFlags(flags)
	flags.Var(&c.addresses, "address", "IP number and port of a stand-in; may be given several times")
	flags.StringVar(&c.serverPattern, "server", "", "pattern of the server IDs, as in path.Match")
	flags.BoolVar(&c.resetFirst, "reset", false, "switch all faults off first")
}

// Execute implements subcommands.Command.
func (c *faultCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(c.run(ctx, flags.Args()))
}

func (c *faultCommand) run(ctx context.Context, arguments []string) error {
	body, err := encodeSwitches(arguments)
	if err != nil {
		return err
	}
	targets, err := c.targets()
	if err != nil {
		return err
	}
	var errs []error
	for _, target := range targets {
		if err := c.apply(ctx, target, body); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", target, err))
		}
	}
	return errors.Join(errs...)
}

// encodeSwitches converts NAME=VALUE arguments to a JSON object, or nil if there are none. A value
// that is not valid JSON is taken as a string.
func encodeSwitches(arguments []string) ([]byte, error) {
	if len(arguments) == 0 {
		return nil, nil
	}
	switches := make(map[string]json.RawMessage)
	for _, argument := range arguments {
		name, value, ok := strings.Cut(argument, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("%w: %q", errInvalidSwitch, argument)
		}
		if !json.Valid([]byte(value)) {
			quoted, err := json.Marshal(value)
			if err != nil {
				return nil, fmt.Errorf("%w: %q", errInvalidSwitch, argument)
			}
			value = string(quoted)
		}
		switches[name] = json.RawMessage(value)
	}
	return json.Marshal(switches)
}

// targets returns the addresses of the stand-ins selected with --address and --server, or
// errNoTargets if there are none.
func (c *faultCommand) targets() ([]string, error) {
	targets := append([]string(nil), c.addresses...)
	if c.serverPattern != "" {
		_, config, err := c.placement.loadProfile()
		if err != nil {
			return nil, err
		}
		matched, err := matchServers(config, c.serverPattern)
		if err != nil {
			return nil, err
		}
		targets = append(targets, matched...)
	}
	if len(targets) == 0 {
		return nil, errNoTargets
	}
	return targets, nil
}

// matchServers returns the addresses of the servers whose IDs match the pattern, as in path.Match.
func matchServers(config policy.Config, pattern string) ([]string, error) {
	var addresses []string
	for _, machine := range serverMachines(config) {
		matched, err := path.Match(pattern, machine.ID)
		if err != nil {
			return nil, fmt.Errorf("--server: %w", err)
		}
		if matched {
			addresses = append(addresses, machine.Address)
		}
	}
	return addresses, nil
}

// apply resets the fault switches of one stand-in if --reset is given, sets those in body, and
// prints the resulting ones. With a nil body it sets none.
func (c *faultCommand) apply(ctx context.Context, address string, body []byte) error {
	if c.resetFirst {
		if _, err := callFaults(ctx, address, http.MethodDelete, nil); err != nil {
			return err
		}
	}
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	reply, err := callFaults(ctx, address, method, body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(os.Stdout, "%s %s\n", address, bytes.TrimSpace(reply))
	return err
}

// callFaults sends a request to the fault API of a stand-in and returns the response body.
func callFaults(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	reply, err := callOnce(ctx, httpcall.Call{
		Method: method, Address: address, Path: emulator.FaultsPath, Body: body, MaxBodyBytes: maxFaultResponseBytes,
	})
	if err != nil {
		return nil, err
	}
	if reply.Code != http.StatusOK {
		return nil, fmt.Errorf("%w: HTTP status %d: %s", errFaultRejected, reply.Code, bytes.TrimSpace(reply.Body))
	}
	return reply.Body, nil
}
