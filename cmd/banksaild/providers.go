package main

import (
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/node"
	"github.com/banksail/banksail/settings"
	"github.com/banksail/banksail/store"
	"github.com/banksail/banksail/telemetry"
)

//go:generate wire

// dialTimeout is the longest time for opening a TCP connection.
const dialTimeout = 2 * time.Second

func newLogger(loaded settings.Settings, output io.Writer) (zerolog.Logger, error) {
	return telemetry.NewLogger(output, loaded.Log.Level, loaded.Node.ID)
}

func newNetwork() *node.SystemNetwork { return node.NewSystemNetwork(dialTimeout) }

func newOptions(
	loaded settings.Settings, network node.Network, configStore store.Conn, machines machinelist.Conn, logger zerolog.Logger,
) node.Options {
	return node.Options{
		Settings:       loaded,
		Network:        network,
		Store:          configStore,
		MachineList:    machines,
		Logger:         logger,
		ProcessMetrics: true,
	}
}

func newStore(loaded settings.Settings, network node.Network) store.Conn {
	return store.NewHTTP(store.HTTPOptions{
		Address: loaded.Store.Address,
		Dial:    network.DialContext,
		Timeout: loaded.Store.Timeout,
	})
}

func newMachineList(loaded settings.Settings, network node.Network) machinelist.Conn {
	return machinelist.NewHTTP(machinelist.HTTPOptions{
		Address: loaded.MachineList.Address,
		Dial:    network.DialContext,
		Timeout: loaded.MachineList.Timeout,
	})
}
