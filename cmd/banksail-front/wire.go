//go:build wireinject

package main

import (
	"github.com/google/wire"

	"github.com/banksail/banksail/front"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/platform"
)

// daemonSet provides all that a node consists of.
var daemonSet = wire.NewSet(
	newOutput,
	newLogger,
	newRegistry,
	newStore,
	newOptions,
	front.New,
	wire.Struct(new(daemon), "node", "logger", "output"),
)

// newDaemon connects a node to the platform's store, its log and its metrics.
func newDaemon(settings platform.Settings, log logOptions, disabled mechanism.Disabled) (*daemon, error) {
	wire.Build(daemonSet)
	return nil, nil
}
