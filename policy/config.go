// Package policy defines the operators' configuration: priority classes,
// services with their groups and servers, and the intents and plans that change
// them.
//
// The configuration is stored as one record in the platform's store. Only a
// confirmed plan changes it, and each change increases its revision by one.
package policy

import (
	"time"

	"github.com/banksail/banksail/coverage"
)

// Revision is the number of an accepted configuration. Zero means that no
// configuration is known.
type Revision uint64

// Config is the complete configuration.
type Config struct {
	// Classes lists the priority classes. Names and orders are unique.
	Classes []Class `json:"classes" validate:"max=64,unique=Name,unique=Order,dive"`
	// Services lists the services that queries may address. Names are unique.
	Services []Service `json:"services" validate:"max=256,unique=Name,dive"`
}

// Class is a priority class.
type Class struct {
	// Name identifies the class in requests.
	Name string `json:"name" validate:"required,max=64"`
	// Order ranks the class; the class with the lowest order is served first.
	Order int `json:"order" validate:"min=0,max=1000"`
	// LongestWait limits the time that a query may wait in a node's queue.
	LongestWait Milliseconds `json:"longest_wait_ms" validate:"min=0,max=600000"`
	// Deadline applies to requests that give no deadline, and is the upper
	// limit for those that do.
	Deadline Milliseconds `json:"deadline_ms" validate:"gt=0,max=600000"`
	// MinimumCoverage is the minimum fraction of the key space that an answer
	// of this class must cover. A request may demand more.
	MinimumCoverage float64 `json:"minimum_coverage" validate:"min=0,max=1"`
	// HedgeShare limits hedges and retries, as a fraction of first sends.
	HedgeShare float64 `json:"hedge_share" validate:"min=0,max=1"`
	// Headroom is the fraction of each server's concurrency limit that is
	// reserved for this class and for classes with a lower order.
	Headroom float64 `json:"headroom" validate:"min=0,max=0.9"`
}

// Service is a set of servers that answer one kind of query.
type Service struct {
	// Name identifies the service in requests.
	Name string `json:"name" validate:"required,max=64"`
	// KeySpace is the complete key range, which the ranges of the groups
	// partition.
	KeySpace coverage.Range `json:"key_space"`
	// Groups lists the shards. An unsharded service has a single group.
	Groups []Group `json:"groups" validate:"min=1,max=8192,unique=Name,dive"`
}

// Group is one shard: a key range and the replicas that serve it.
type Group struct {
	// Name identifies the group within its service.
	Name string `json:"name" validate:"required,max=64"`
	// Range is the part of the key space that the group serves.
	Range coverage.Range `json:"range"`
	// Servers lists the replicas.
	Servers []Server `json:"servers" validate:"min=1,max=256,unique=ID,dive"`
}

// Server is one replica of a group.
type Server struct {
	// ID identifies the server in all groups and services. A server that is
	// listed more than once must have the same attributes everywhere.
	ID string `json:"id" validate:"required,max=128"`
	// Address is an IP address and port.
	Address string `json:"address" validate:"required,hostname_port"`
	// Zone is the availability zone in which the server runs.
	Zone string `json:"zone" validate:"max=64"`
	// Slots is the number of sub-requests that the server runs concurrently.
	Slots int `json:"slots" validate:"min=1,max=100000"`
	// Connections is the total number of connections that the server accepts.
	Connections int `json:"connections" validate:"min=1,max=1000000"`
}

// Milliseconds is a duration that is encoded as a number of milliseconds.
type Milliseconds float64

// Duration converts m to a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Class returns the class of the given name and whether it exists.
func (c Config) Class(name string) (Class, bool) {
	for _, class := range c.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return Class{}, false
}

// Service returns the service of the given name and whether it exists.
func (c Config) Service(name string) (Service, bool) {
	for _, service := range c.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// namedItem is a list item that is identified by its name within the list.
type namedItem interface{ name() string }

func (c Class) name() string   { return c.Name }
func (s Service) name() string { return s.Name }
func (g Group) name() string   { return g.Name }
func (s Server) name() string  { return s.ID }
