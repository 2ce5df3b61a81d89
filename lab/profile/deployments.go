package profile

import (
	"time"

	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/policy"
)

// Names of services in the profiles.
const (
	RouteDesk          = "route-desk"
	HotelPortal        = "hotel-portal"
	MemberLedger       = "member-ledger"
	StainLog           = "stain-log"
	SolicitationSearch = "solicitation-search"
	FeeLedger          = "fee-ledger"
	NoticeTool         = "notice-tool"
	Mailroom           = "mailroom"
	Catalog            = "catalog"
)

// Names of priority classes in the profiles, highest priority first. Classes that
// accept partial answers accept those that lack one of eight groups.
const (
	Urgent  = "urgent"
	Normal  = "normal"
	Batch   = "batch"
	Check   = "check"
	Sweep   = "sweep"
	Records = "records"
)

// newNetwork returns the delays that both modelled companies report: about 1 ms for
// a new connection and about 1 ms between zones. client is the delay to clients.
func newNetwork(client time.Duration) Network {
	return Network{
		SameZone:      100 * time.Microsecond,
		BetweenZones:  time.Millisecond,
		Client:        client,
		NewConnection: time.Millisecond,
	}
}

func exponential(mean policy.Milliseconds) emulator.Distribution {
	return emulator.Distribution{Kind: emulator.Exponential, Mean: mean, Maximum: 100 * mean}
}

func logNormal(mean policy.Milliseconds, shape float64) emulator.Distribution {
	return emulator.Distribution{Kind: emulator.LogNormal, Mean: mean, Shape: shape, Maximum: 100 * mean}
}

// blueMahoe returns the profile of a laundry cooperative. Urgent lookups by drivers
// take priority over lookups by hotels, and those over billing.
func blueMahoe() Profile {
	return Profile{
		Name:    BlueMahoe,
		Zones:   []string{"kingston-a", "kingston-b", "kingston-c", "kingston-d"},
		Network: newNetwork(time.Millisecond),
		Classes: []policy.Class{
			{Name: Urgent, Order: 0, LongestWait: 50, Deadline: 250, MinimumCoverage: 0.85, HedgeShare: 0.25, Headroom: 0.2},
			{Name: Normal, Order: 10, LongestWait: 200, Deadline: 1000, MinimumCoverage: 0.85, HedgeShare: 0, Headroom: 0.1},
			{Name: Batch, Order: 20, LongestWait: 5000, Deadline: 30000, MinimumCoverage: 1, HedgeShare: 0, Headroom: 0},
		},
		Tiers: []Tier{
			{Service: RouteDesk, Groups: 8, ServersPerGroup: 2, Slots: 5, Connections: 70, ServiceTime: exponential(4)},
			{Service: HotelPortal, Groups: 12, ServersPerGroup: 2, Slots: 5, Connections: 70, ServiceTime: exponential(4)},
			{Service: MemberLedger, Groups: 1, ServersPerGroup: 20, Slots: 2, Connections: 110, ServiceTime: logNormal(20, 1)},
			{Service: StainLog, Groups: 1, ServersPerGroup: 10, Slots: 2, Connections: 110, ServiceTime: logNormal(10, 1)},
		},
		Mix: []QueryKind{
			{Service: RouteDesk, Class: Urgent, Fraction: 0.2, Repeatable: true},
			{Service: HotelPortal, Class: Normal, Fraction: 0.4, Repeatable: true},
			{Service: MemberLedger, Class: Batch, Fraction: 0.3, Repeatable: true},
			{Service: StainLog, Class: Normal, Fraction: 0.1, Repeatable: false},
		},
	}
}

// thibodeau returns the profile of a tender search. Sweeps need high coverage;
// the deadline check on the same servers needs low tail latency.
func thibodeau() Profile {
	return Profile{
		Name:    Thibodeau,
		Zones:   []string{"new-england-a", "new-england-b", "new-england-c"},
		Network: newNetwork(3 * time.Millisecond),
		Classes: []policy.Class{
			{Name: Check, Order: 0, LongestWait: 50, Deadline: 250, MinimumCoverage: 0.85, HedgeShare: 0.2, Headroom: 0.2},
			{Name: Sweep, Order: 10, LongestWait: 500, Deadline: 2000, MinimumCoverage: 0.95, HedgeShare: 0, Headroom: 0.1},
			{Name: Records, Order: 20, LongestWait: 1000, Deadline: 5000, MinimumCoverage: 1, HedgeShare: 0, Headroom: 0},
		},
		Tiers: []Tier{
			{Service: SolicitationSearch, Groups: 8, ServersPerGroup: 2, Slots: 2, Connections: 70, ServiceTime: exponential(8)},
			{Service: FeeLedger, Groups: 12, ServersPerGroup: 2, Slots: 2, Connections: 70, ServiceTime: exponential(8)},
			{Service: NoticeTool, Groups: 1, ServersPerGroup: 5, Slots: 3, Connections: 110, ServiceTime: logNormal(10, 1)},
			{Service: Mailroom, Groups: 1, ServersPerGroup: 3, Slots: 3, Connections: 110, ServiceTime: logNormal(10, 1)},
		},
		Mix: []QueryKind{
			{Service: SolicitationSearch, Class: Sweep, Fraction: 0.6, Repeatable: true},
			{Service: SolicitationSearch, Class: Check, Fraction: 0.2, Repeatable: true},
			{Service: NoticeTool, Class: Records, Fraction: 0.1, Repeatable: false},
			{Service: FeeLedger, Class: Records, Fraction: 0.07, Repeatable: true},
			{Service: Mailroom, Class: Records, Fraction: 0.03, Repeatable: true},
		},
	}
}

// small returns a profile for demonstrations on one machine: one sharded service
// and one unsharded pool of servers.
func small() Profile {
	return Profile{
		Name:    Small,
		Zones:   []string{"zone-a", "zone-b"},
		Network: newNetwork(time.Millisecond),
		Classes: []policy.Class{
			{Name: Urgent, Order: 0, LongestWait: 50, Deadline: 500, MinimumCoverage: 0.85, HedgeShare: 0.25, Headroom: 0.2},
			{Name: Normal, Order: 10, LongestWait: 200, Deadline: 1000, MinimumCoverage: 0.85, HedgeShare: 0, Headroom: 0.1},
			{Name: Batch, Order: 20, LongestWait: 2000, Deadline: 10000, MinimumCoverage: 1, HedgeShare: 0, Headroom: 0},
		},
		Tiers: []Tier{
			{Service: Catalog, Groups: 8, ServersPerGroup: 2, Slots: 5, Connections: 70, ServiceTime: exponential(4)},
			{Service: MemberLedger, Groups: 1, ServersPerGroup: 2, Slots: 2, Connections: 110, ServiceTime: logNormal(10, 1)},
		},
		Mix: []QueryKind{
			{Service: Catalog, Class: Urgent, Fraction: 0.3, Repeatable: true},
			{Service: Catalog, Class: Normal, Fraction: 0.5, Repeatable: true},
			{Service: MemberLedger, Class: Batch, Fraction: 0.2, Repeatable: false},
		},
	}
}
