// Package machinelist implements a client of the platform's machine list, which shows the live
// and leaving machines with a delay.
package machinelist

import (
	"context"
	"errors"
	"slices"
	"time"
)

// Errors that all implementations of Conn wrap.
var (
	// ErrUnavailable means that the list cannot be read.
	ErrUnavailable = errors.New("machinelist: unavailable")
	// ErrUnchanged means that a watch ended without a newer version.
	ErrUnchanged = errors.New("machinelist: unchanged")
	// ErrMalformed means that a reply violates the protocol.
	ErrMalformed = errors.New("machinelist: malformed reply")
)

// Role is the kind of process that runs on a machine.
type Role string

// Roles of machines.
const (
	RoleNode   Role = "node"
	RoleServer Role = "server"
)

// State is the state of a machine according to the list.
type State string

// States of machines.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Machine is an entry of the list.
type Machine struct {
	// ID is the ID of the node or server.
	ID      string `json:"id" validate:"required,max=128"`
	Address string `json:"address" validate:"required,hostname_port"`
	Zone    string `json:"zone,omitempty" validate:"max=64"`
	Role    Role   `json:"role" validate:"oneof=node server"`
	State   State  `json:"state" validate:"oneof=live leaving"`
	// Incarnation changes when the machine restarts with the same ID.
	Incarnation string `json:"incarnation,omitempty" validate:"max=64"`
}

// List is a version of the machine list. An empty list never means that all machines are gone.
type List struct {
	Version  uint64    `json:"version"`
	Machines []Machine `json:"machines" validate:"max=20000,dive"`
}

// Upsert returns a copy of the machines in which the given machine is added or replaces the one
// with the same ID.
func Upsert(machines []Machine, machine Machine) []Machine {
	changed := slices.Clone(machines)
	index := slices.IndexFunc(changed, func(known Machine) bool { return known.ID == machine.ID })
	if index < 0 {
		return append(changed, machine)
	}
	changed[index] = machine
	return changed
}

// Remove returns a copy of the machines without the one with the given ID, and reports whether
// there was one.
func Remove(machines []Machine, id string) ([]Machine, bool) {
	kept := slices.DeleteFunc(slices.Clone(machines), func(known Machine) bool { return known.ID == id })
	return kept, len(kept) != len(machines)
}

// Conn reads the machine list.
type Conn interface {
	// Get returns the current list.
	Get(ctx context.Context) (List, error)
	// Watch returns the list as soon as its version is greater than after. It returns
	// ErrUnchanged if that does not happen within wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (List, error)
}
