// Package machinelist is the client towards the platform's list of machines,
// which shows live and leaving machines with lag.
package machinelist

import (
	"context"
	"errors"
	"slices"
	"time"
)

// Errors that every Conn returns, wrapped.
var (
	// ErrUnavailable: the list can't be read.
	ErrUnavailable = errors.New("machinelist: unavailable")
	// ErrUnchanged: a watch ended without a newer version.
	ErrUnchanged = errors.New("machinelist: unchanged")
	// ErrMalformed: the reply does not follow the protocol.
	ErrMalformed = errors.New("machinelist: malformed reply")
)

// Role tells what runs on a machine.
type Role string

// Roles of machines.
const (
	RoleNode   Role = "node"
	RoleServer Role = "server"
)

// State is the list's account of a machine.
type State string

// States of machines.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Machine is one entry of the list.
type Machine struct {
	// ID is the node's or server's ID.
	ID      string `json:"id" validate:"required,max=128"`
	Address string `json:"address" validate:"required,hostname_port"`
	Zone    string `json:"zone,omitempty" validate:"max=64"`
	Role    Role   `json:"role" validate:"oneof=node server"`
	State   State  `json:"state" validate:"oneof=live leaving"`
	// Incarnation changes when the machine starts anew under the same ID.
	Incarnation string `json:"incarnation,omitempty" validate:"max=64"`
}

// List is one reading. An empty list never means that all machines are gone.
type List struct {
	Version  uint64    `json:"version"`
	Machines []Machine `json:"machines" validate:"max=20000,dive"`
}

// Upsert returns a copy of the machines with one added, or put in place of the
// one with its ID.
func Upsert(machines []Machine, machine Machine) []Machine {
	changed := slices.Clone(machines)
	index := slices.IndexFunc(changed, func(known Machine) bool { return known.ID == machine.ID })
	if index < 0 {
		return append(changed, machine)
	}
	changed[index] = machine
	return changed
}

// Remove returns a copy of the machines without the one of this ID, and whether
// it was among them.
func Remove(machines []Machine, id string) ([]Machine, bool) {
	kept := slices.DeleteFunc(slices.Clone(machines), func(known Machine) bool { return known.ID == id })
	return kept, len(kept) != len(machines)
}

// Conn reads the machine list.
type Conn interface {
	// Get reads the list.
	Get(ctx context.Context) (List, error)
	// Watch waits until the list's version is greater than after, at most wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (List, error)
}
