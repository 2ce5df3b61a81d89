//go:build wireinject

package main

import (
	"io"

	"github.com/google/wire"

	"github.com/banksail/banksail/node"
	"github.com/banksail/banksail/settings"
)

// daemonSet provides all that a daemon consists of.
var daemonSet = wire.NewSet(
	newLogger,
	newNetwork,
	wire.Bind(new(node.Network), new(*node.SystemNetwork)),
	newStore,
	newMachineList,
	newOptions,
	node.New,
	wire.Struct(new(daemon), "node", "logger"),
)

// newDaemon connects a node to the operating system's network and the
// platform's services.
func newDaemon(loaded settings.Settings, output io.Writer) (*daemon, error) {
	wire.Build(daemonSet)
	return nil, nil
}
