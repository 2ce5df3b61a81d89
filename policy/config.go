// Package policy holds the operators' intents: priority classes, services with
// their groups and servers, and the plans that change them.
//
// A Config is one record in the platform's store. It changes only by a
// confirmed plan, and its revision only grows.
package policy

import (
	"time"

	"github.com/banksail/banksail/coverage"
)

// Revision numbers an accepted configuration. Zero means that none is known.
type Revision uint64

// Config is the whole of the operators' accepted intents.
type Config struct {
	// Classes lists the priority classes; names and orders are unique.
	Classes []Class `json:"classes" validate:"max=64,unique=Name,unique=Order,dive"`
	// Services lists the services that queries may name; names are unique.
	Services []Service `json:"services" validate:"max=256,unique=Name,dive"`
}

// Class is a priority class.
type Class struct {
	// Name identifies the class in requests.
	Name string `json:"name" validate:"required,max=64"`
	// Order ranks the class; the lowest order is served first.
	Order int `json:"order" validate:"min=0,max=1000"`
	// LongestWait bounds the time that a query may stay queued at a node.
	LongestWait Milliseconds `json:"longest_wait_ms" validate:"min=0,max=600000"`
	// Deadline is used when a request names none, and bounds what it may name.
	Deadline Milliseconds `json:"deadline_ms" validate:"gt=0,max=600000"`
	// MinimumCoverage is the least fraction of the key space that an answer of
	// this class may cover; a request may ask for more.
	MinimumCoverage float64 `json:"minimum_coverage" validate:"min=0,max=1"`
	// HedgeShare bounds hedges and retries, as a share of first sends.
	HedgeShare float64 `json:"hedge_share" validate:"min=0,max=1"`
	// Headroom is the share of each server's concurrency limit that is kept for
	// this class and those served before it.
	Headroom float64 `json:"headroom" validate:"min=0,max=0.9"`
}

// Service is a set of servers that answer one kind of query.
type Service struct {
	// Name identifies the service in requests.
	Name string `json:"name" validate:"required,max=64"`
	// KeySpace is the whole key space; the groups' ranges partition it.
	KeySpace coverage.Range `json:"key_space"`
	// Groups lists the shards. A pool without shards is one group.
	Groups []Group `json:"groups" validate:"min=1,max=8192,unique=Name,dive"`
}

// Group is one shard: a key range and the servers that hold it.
type Group struct {
	// Name identifies the group within its service.
	Name string `json:"name" validate:"required,max=64"`
	// Range is the part of the key space that the group holds.
	Range coverage.Range `json:"range"`
	// Servers lists the replicas.
	Servers []Server `json:"servers" validate:"min=1,max=256,unique=ID,dive"`
}

// Server is one replica of a group.
type Server struct {
	// ID identifies the server everywhere.
	ID string `json:"id" validate:"required,max=128"`
	// Address is an IP number and port.
	Address string `json:"address" validate:"required,hostname_port"`
	// Zone is the failure zone in which the server runs.
	Zone string `json:"zone" validate:"max=64"`
	// Slots is the number of sub-requests that the server runs at once.
	Slots int `json:"slots" validate:"min=1,max=100000"`
	// Connections is the number of connections that the server accepts in all.
	Connections int `json:"connections" validate:"min=1,max=1000000"`
}

// Milliseconds is a duration that is written as a number of milliseconds.
type Milliseconds float64

// Duration converts to the standard type.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Class finds a class by name.
func (c Config) Class(name string) (Class, bool) {
	for _, class := range c.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return Class{}, false
}

// Service finds a service by name.
func (c Config) Service(name string) (Service, bool) {
	for _, service := range c.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// namedItem is an item of a list that its name identifies there.
type namedItem interface{ name() string }

func (c Class) name() string   { return c.Name }
func (s Service) name() string { return s.Name }
func (g Group) name() string   { return g.Name }
func (s Server) name() string  { return s.ID }
