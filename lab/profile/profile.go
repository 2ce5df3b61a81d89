// Package profile describes the deployments on which banksail is measured: services
// and their servers, priority classes, network delays and the mix of queries.
package profile

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/policy"
)

// ErrUnknownProfile is returned by Get if no profile has the given name.
var ErrUnknownProfile = errors.New("profile: unknown profile")

// ErrInvalidPorts is returned by Profile.Config if the base port is invalid or too
// high for consecutive ports for all servers.
var ErrInvalidPorts = errors.New("profile: invalid base port")

// Names of the profiles.
const (
	Small     = "small"
	BlueMahoe = "bluemahoe"
	Thibodeau = "thibodeau"
)

// Default addresses of servers, and limits of key spaces and ports.
const (
	DefaultHost     = "127.0.0.1"
	DefaultBasePort = 21000

	keySpaceEnd = 1 << 16
	maximumPort = 65535
)

// Profile describes one deployment.
type Profile struct {
	Name    string
	Zones   []string
	Network Network
	Classes []policy.Class
	Tiers   []Tier
	Mix     []QueryKind
}

// Network holds the one-way network delays of a deployment.
type Network struct {
	SameZone      time.Duration
	BetweenZones  time.Duration
	Client        time.Duration
	NewConnection time.Duration
}

// Tier describes a service made of identical groups of identical servers.
type Tier struct {
	Service         string
	Groups          int
	ServersPerGroup int
	Slots           int
	Connections     int
	ServiceTime     emulator.Distribution
}

// QueryKind is one kind of query in the mix.
type QueryKind struct {
	Service string
	Class   string
	// Fraction is the proportion of all queries, from 0 to 1.
	Fraction   float64
	Repeatable bool
}

// Placement determines the addresses of a profile's servers: consecutive ports
// from BasePort on, in the order of the configuration. Zero fields get defaults.
type Placement struct {
	Host     string
	BasePort int
}

// Names returns the names of all profiles.
func Names() []string {
	return []string{Small, BlueMahoe, Thibodeau}
}

// Get returns the profile with the given name, or ErrUnknownProfile.
func Get(name string) (Profile, error) {
	switch name {
	case Small:
		return small(), nil
	case BlueMahoe:
		return blueMahoe(), nil
	case Thibodeau:
		return thibodeau(), nil
	default:
		return Profile{}, fmt.Errorf("%w: %q; there are %v", ErrUnknownProfile, name, Names())
	}
}

// Config returns the profile's configuration with server addresses from the
// placement, or ErrInvalidPorts.
func (p Profile) Config(placement Placement) (policy.Config, error) {
	if placement.Host == "" {
		placement.Host = DefaultHost
	}
	if placement.BasePort == 0 {
		placement.BasePort = DefaultBasePort
	}
	if placement.BasePort < 1 || placement.BasePort+p.ServerCount()-1 > maximumPort {
		return policy.Config{}, fmt.Errorf("%w: %d with %d servers", ErrInvalidPorts, placement.BasePort, p.ServerCount())
	}
	config := policy.Config{Classes: slices.Clone(p.Classes)}
	port := placement.BasePort
	for _, tier := range p.Tiers {
		config.Services = append(config.Services, p.buildService(tier, placement.Host, port))
		port += tier.Groups * tier.ServersPerGroup
	}
	return config, nil
}

// ServerCount returns the total number of servers of all services.
func (p Profile) ServerCount() int {
	count := 0
	for _, tier := range p.Tiers {
		count += tier.Groups * tier.ServersPerGroup
	}
	return count
}

// Tier returns the tier of a service, and whether the profile has one.
func (p Profile) Tier(service string) (Tier, bool) {
	index := slices.IndexFunc(p.Tiers, func(tier Tier) bool { return tier.Service == service })
	if index < 0 {
		return Tier{}, false
	}
	return p.Tiers[index], true
}

func (p Profile) buildService(tier Tier, host string, port int) policy.Service {
	space := coverage.Range{Start: 0, End: keySpaceEnd}
	service := policy.Service{Name: tier.Service, KeySpace: space}
	for index := range tier.Groups {
		group := policy.Group{
			Name:  fmt.Sprintf("g%02d", index),
			Range: splitRange(space, index, tier.Groups),
		}
		for replica := range tier.ServersPerGroup {
			group.Servers = append(group.Servers, policy.Server{
				ID:          fmt.Sprintf("%s-%s-r%02d", tier.Service, group.Name, replica),
				Address:     net.JoinHostPort(host, strconv.Itoa(port)),
				Zone:        p.Zones[(index+replica)%len(p.Zones)],
				Slots:       tier.Slots,
				Connections: tier.Connections,
			})
			port++
		}
		service.Groups = append(service.Groups, group)
	}
	return service
}

// splitRange returns the part with the given index, from 0, of a range split into
// count parts of nearly equal size.
func splitRange(whole coverage.Range, index, count int) coverage.Range {
	size := whole.Size()
	return coverage.Range{
		Start: whole.Start + size*uint64(index)/uint64(count),
		End:   whole.Start + size*uint64(index+1)/uint64(count),
	}
}
