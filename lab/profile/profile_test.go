package profile_test

import (
	"errors"
	"math"
	"testing"

	"github.com/go-playground/validator/v10"

	"github.com/banksail/banksail/lab/profile"
	"github.com/banksail/banksail/policy"
)

func getConfig(t *testing.T, name string) (profile.Profile, policy.Config) {
	t.Helper()
	chosen, err := profile.Get(name)
	if err != nil {
		t.Fatal(err)
	}
	config, err := chosen.Config(profile.Placement{})
	if err != nil {
		t.Fatal(err)
	}
	return chosen, config
}

func TestProfilesAreValidConfigurations(t *testing.T) {
	for _, name := range profile.Names() {
		t.Run(name, func(t *testing.T) {
			chosen, config := getConfig(t, name)
			if err := validator.New(validator.WithRequiredStructEnabled()).Struct(config); err != nil {
				t.Error(err)
			}
			addresses := make(map[string]bool)
			for _, service := range config.Services {
				checkPartition(t, service)
				for _, group := range service.Groups {
					for _, server := range group.Servers {
						addresses[server.Address] = true
					}
				}
			}
			if len(addresses) != chosen.ServerCount() {
				t.Errorf("%d addresses for %d servers", len(addresses), chosen.ServerCount())
			}
		})
	}
}

func checkPartition(t *testing.T, service policy.Service) {
	t.Helper()
	next := service.KeySpace.Start
	for _, group := range service.Groups {
		if group.Range.Start != next {
			t.Errorf("%s %s starts at %d, want %d", service.Name, group.Name, group.Range.Start, next)
		}
		next = group.Range.End
	}
	if next != service.KeySpace.End {
		t.Errorf("%s ends at %d, want %d", service.Name, next, service.KeySpace.End)
	}
}

func TestMixesReferToExistingServicesAndClasses(t *testing.T) {
	for _, name := range profile.Names() {
		chosen, config := getConfig(t, name)
		classes := make(map[string]bool)
		for _, class := range config.Classes {
			classes[class.Name] = true
		}
		sum := 0.0
		for _, kind := range chosen.Mix {
			sum += kind.Fraction
			if _, ok := chosen.Tier(kind.Service); !ok || !classes[kind.Class] {
				t.Errorf("%s: the mix has unknown service %q or class %q", name, kind.Service, kind.Class)
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("%s: the fractions of the mix sum to %g, want 1", name, sum)
		}
	}
}

func TestProfileSizes(t *testing.T) {
	cases := []struct {
		profile, service                             string
		groups, servers, slots, connections, regions int
	}{
		{profile.BlueMahoe, profile.RouteDesk, 8, 2, 5, 70, 4},
		{profile.BlueMahoe, profile.HotelPortal, 12, 2, 5, 70, 4},
		{profile.BlueMahoe, profile.MemberLedger, 1, 20, 2, 110, 4},
		{profile.BlueMahoe, profile.StainLog, 1, 10, 2, 110, 4},
		{profile.Thibodeau, profile.SolicitationSearch, 8, 2, 2, 70, 3},
		{profile.Thibodeau, profile.FeeLedger, 12, 2, 2, 70, 3},
		{profile.Thibodeau, profile.NoticeTool, 1, 5, 3, 110, 3},
		{profile.Thibodeau, profile.Mailroom, 1, 3, 3, 110, 3},
	}
	for _, test := range cases {
		chosen, _ := getConfig(t, test.profile)
		tier, ok := chosen.Tier(test.service)
		same := tier.Groups == test.groups && tier.ServersPerGroup == test.servers &&
			tier.Slots == test.slots && tier.Connections == test.connections
		if !ok || !same || len(chosen.Zones) != test.regions {
			t.Errorf("%s: %+v in %d zones", test.service, tier, len(chosen.Zones))
		}
	}
}

func TestUnknownProfileAndInvalidPortsAreRejected(t *testing.T) {
	if _, err := profile.Get("other"); !errors.Is(err, profile.ErrUnknownProfile) {
		t.Errorf("got error %v, want ErrUnknownProfile", err)
	}
	chosen, _ := getConfig(t, profile.BlueMahoe)
	for _, port := range []int{-1, 65530} {
		if _, err := chosen.Config(profile.Placement{BasePort: port}); !errors.Is(err, profile.ErrInvalidPorts) {
			t.Errorf("base port %d: got error %v, want ErrInvalidPorts", port, err)
		}
	}
}
