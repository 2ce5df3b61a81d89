package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banksail/banksail/lab/schedule"
	"github.com/banksail/banksail/platform/standin"
)

// Kinds of faults that only a soak injects; it also injects some of package schedule's.
const (
	// ChangeSettings rewrites a node's settings file and sends SIGHUP. InvalidSettings does so with
	// an unreadable file first.
	ChangeSettings  schedule.Kind = "change_settings"
	InvalidSettings schedule.Kind = "misspell_settings"
	// ReplaceNode kills a node for good. At Until, another node starts at another address.
	ReplaceNode schedule.Kind = "replace_node"
	// ZoneOutage freezes all nodes of a zone and makes the links to its servers silent.
	ZoneOutage schedule.Kind = "dark_zone"
	// SilentStoreLink makes one node's link to the store silent, ResetStoreLink resets its
	// connections, and StoreRejection makes the store reject that node's calls.
	SilentStoreLink schedule.Kind = "store_cut"
	ResetStoreLink  schedule.Kind = "store_reset"
	StoreRejection  schedule.Kind = "store_refuse"
	// StoreDropHistory drops the store's history of changes. StoreMuteWatches stops the store from
	// sending changes to watches.
	StoreDropHistory schedule.Kind = "store_forget"
	StoreMuteWatches schedule.Kind = "store_deaf"
	// StoreRestore restores the store at Until from a backup taken at At. The store is down from At
	// plus Delay.
	StoreRestore schedule.Kind = "store_restore"
	// SilentLink, ResetLink, SlowServerLink, OneWayLink and TrickleLink impair the link to a
	// server.
	SilentLink     schedule.Kind = "silent_link"
	ResetLink      schedule.Kind = "reset_link"
	SlowServerLink schedule.Kind = "slow_server_link"
	OneWayLink     schedule.Kind = "one_way_link"
	TrickleLink    schedule.Kind = "drip"
	// DropResponses makes a server execute requests without responding; FailRequests makes it fail
	// them.
	DropResponses schedule.Kind = "lose_answers"
	FailRequests  schedule.Kind = "fail_answers"
	// TruncateResponses ends responses in the middle, DuplicateResponses sends each twice,
	// OmitResponseLength sends them without a length, and ResetResponses sends them without a
	// length and resets the connection.
	TruncateResponses  schedule.Kind = "cut_answers"
	DuplicateResponses schedule.Kind = "double_answers"
	OmitResponseLength schedule.Kind = "endless_answers"
	ResetResponses     schedule.Kind = "reset_answers"
	// ReuseAddress ends a server and gives its address to a server of another service.
	ReuseAddress schedule.Kind = "reuse_address"
	// RestartServer ends a server and restarts it with the same ID and address.
	RestartServer schedule.Kind = "return_server"
	// InvalidEntries writes entries that no server would write among the servers' entries in the
	// store.
	InvalidEntries schedule.Kind = "odd_entries"
	// Configure writes one version of the configuration, ConfigureBurst many in short succession.
	Configure      schedule.Kind = "configure"
	ConfigureBurst schedule.Kind = "configure_often"
	// Reshard moves searches to another set of shards.
	Reshard schedule.Kind = "reshard"
	// Evacuate evacuates a zone until Until.
	Evacuate schedule.Kind = "evacuate"
	// FloodResponses replaces some responses of a server of single requests by bytes without end,
	// while callers send requests that may run once and wait for long.
	FloodResponses schedule.Kind = "flood_answers"
	// RepeatRejections makes all servers of single requests reject a part of the requests and send
	// each rejection a second time, late.
	RepeatRejections schedule.Kind = "late_copies"
	// RemoveRoute removes the optional route until Until, while callers send requests with long
	// bodies on it and others in between, on kept connections.
	RemoveRoute schedule.Kind = "remove_route"
	// Crowd opens a crowd of connections to a node until Until, with requests that never end.
	Crowd schedule.Kind = "crowd"
	// CrashRequest sends a request repeatedly, to all nodes in turn, that crashes the servers that
	// run it.
	CrashRequest schedule.Kind = "deadly_request"
)

// Kinds lists the faults that a soak generates.
func Kinds() []schedule.Kind {
	return []schedule.Kind{
		schedule.KillNode, schedule.FreezeNode, schedule.PlannedStop, schedule.RestartNodes, ChangeSettings, InvalidSettings,
		ReplaceNode, ZoneOutage, schedule.StoreOutage, schedule.StoreFreeze, schedule.StoreLostReply, SilentStoreLink, ResetStoreLink,
		StoreRejection, StoreDropHistory, StoreMuteWatches, schedule.KillServer, schedule.SlowServer, schedule.Shed, schedule.ColdStart,
		schedule.Drain, SilentLink, ResetLink, SlowServerLink, OneWayLink, TrickleLink, DropResponses, FailRequests, TruncateResponses, DuplicateResponses,
		OmitResponseLength, ResetResponses, ReuseAddress, Configure, ConfigureBurst, Reshard, Evacuate,
		CrashRequest, RestartServer, InvalidEntries, StoreRestore, FloodResponses, RepeatRejections, RemoveRoute, Crowd,
	}
}

// RolloutOrder is a roll-out in a schedule.
type RolloutOrder struct {
	At time.Duration
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Defect is the defect of the version; NoDefect means none.
	Defect Defect
	// Replaced means that an order for the running version replaces this one after a third of
	// Duration.
	Replaced bool
}

// Defect names a defect of a version.
type Defect string

// Defects of versions.
const (
	NoDefect        Defect = ""
	FailsAlways     Defect = "fails_always"
	FailsOneInThree Defect = "fails_a_third"
	RespondsSlowly  Defect = "slow"
	FailsLater      Defect = "fails_later"
	FailsOnRoute    Defect = "fails_on_one_route"
	FailsUnderLoad  Defect = "fails_under_load"
)

var defects = []Defect{NoDefect, FailsAlways, FailsOneInThree, RespondsSlowly, FailsLater, FailsOnRoute, FailsUnderLoad}

// Schedule holds the faults and the roll-out of a soak.
type Schedule struct {
	Seed     uint64
	Duration time.Duration
	Faults   []schedule.Fault
	// Rollout is the roll-out; its Duration is zero if there is none.
	Rollout RolloutOrder
}

// String returns the schedule as text, with one line per fault.
func (s Schedule) String() string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "seed %d, %s\n", s.Seed, s.Duration)
	if s.Rollout.Duration > 0 {
		_, _ = fmt.Fprintf(&text, "%s roll-out within %s, bad: %q, replaced: %t\n", s.Rollout.At, s.Rollout.Duration, s.Rollout.Defect, s.Rollout.Replaced)
	}
	for _, fault := range s.Faults {
		_, _ = fmt.Fprintln(&text, fault)
	}
	return text.String()
}

const (
	// startupPhase is the time before the first fault, in which all nodes start. recoveryPhase is
	// the time after the last fault, in which the system must recover and is then checked to have
	// recovered.
	startupPhase  = 5 * time.Second
	recoveryPhase = RecoveryBound + 4*time.Second
	// minFaultDuration and maxFaultDuration bound a fault's duration. The next fault starts within
	// maxFaultInterval, so that two or three overlap.
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	maxFaultInterval = 4 * time.Second
	// minBackupAge and maxBackupAge bound the age of a backup when the store goes down.
	minBackupAge = time.Second
	maxBackupAge = 6 * time.Second
	// minRolloutDuration is the minimum duration of a roll-out, which must end before the soak
	// does.
	minRolloutDuration = 13 * time.Second
	maxRolloutDuration = 24 * time.Second
	// meanFaultInterval is the mean time between two faults of one kind if all kinds are generated.
	// With the present number of kinds, one fault starts every 2 s.
	meanFaultInterval = 80 * time.Second
	// rolloutShare is the share of schedules with a roll-out.
	rolloutShare = 0.7
	// scheduleStream separates the schedule's random numbers from other uses of the seed, and
	// rolloutStream those of the roll-out from those of the kinds.
	scheduleStream = 0x736f616b
	rolloutStream  = 0x726f6c6c
)

// MinDuration is the minimum duration of a soak; it leaves room for one fault.
const MinDuration = startupPhase + recoveryPhase + 2*time.Second

// Generate generates the schedule of a seed for the nodes and servers of a layout. The same
// arguments give the same schedule. It generates faults of the given kinds, or of all kinds if none
// is given. In that case each kind has a random generator of its own, so that adding a kind does
// not change the faults of the others.
func Generate(seed uint64, duration time.Duration, layout Layout, kinds ...schedule.Kind) Schedule {
	if len(kinds) == 0 {
		return generatePerKind(seed, duration, layout, Kinds())
	}
	random := rand.New(rand.NewPCG(seed, scheduleStream))
	d := generator{random: random, layout: layout, lastFaultEnd: duration - recoveryPhase}
	result := Schedule{Seed: seed, Duration: duration}
	if random.Float64() < rolloutShare {
		result.Rollout = d.drawRollout(duration)
	}
	at := startupPhase
	for at < d.lastFaultEnd {
		result.Faults = append(result.Faults, d.drawFault(kinds[random.IntN(len(kinds))], at))
		at += time.Duration(random.Int64N(int64(maxFaultInterval)))
	}
	return result
}

// generatePerKind generates the faults of each kind with a random generator of its own.
func generatePerKind(seed uint64, duration time.Duration, layout Layout, kinds []schedule.Kind) Schedule {
	result := Schedule{Seed: seed, Duration: duration}
	rollouts := generator{random: rand.New(rand.NewPCG(seed, rolloutStream)), layout: layout, lastFaultEnd: duration - recoveryPhase}
	if rollouts.random.Float64() < rolloutShare {
		result.Rollout = rollouts.drawRollout(duration)
	}
	for _, kind := range kinds {
		d := generator{random: rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(kind)))), layout: layout, lastFaultEnd: duration - recoveryPhase}
		for at := startupPhase + d.drawInterval(); at < d.lastFaultEnd; at += d.drawInterval() {
			result.Faults = append(result.Faults, d.drawFault(kind, at))
		}
	}
	slices.SortStableFunc(result.Faults, func(a, b schedule.Fault) int { return cmp.Compare(a.At, b.At) })
	return result
}

type generator struct {
	random       *rand.Rand
	layout       Layout
	lastFaultEnd time.Duration
}

// drawInterval draws the time between two faults of one kind.
func (d *generator) drawInterval() time.Duration {
	return time.Duration(d.random.ExpFloat64() * float64(meanFaultInterval))
}

func (d *generator) drawBetween(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return (low + time.Duration(d.random.Int64N(int64(high-low)))).Round(time.Millisecond)
}

func (d *generator) drawRollout(duration time.Duration) RolloutOrder {
	room := duration - startupPhase - time.Second
	return RolloutOrder{
		At:       startupPhase,
		Duration: d.drawBetween(minRolloutDuration, min(maxRolloutDuration, room)),
		Defect:   defects[d.random.IntN(len(defects))],
		Replaced: d.random.IntN(8) == 0,
	}
}

// drawFault draws a fault's target, duration and delay.
func (d *generator) drawFault(kind schedule.Kind, at time.Duration) schedule.Fault {
	fault := schedule.Fault{Kind: kind, At: at.Round(time.Millisecond)}
	fault.Until = min(fault.At+d.drawBetween(minFaultDuration, maxFaultDuration), max(d.lastFaultEnd, fault.At+minFaultDuration))
	switch kind {
	case schedule.KillNode, schedule.FreezeNode, schedule.PlannedStop, ChangeSettings, InvalidSettings, ReplaceNode,
		SilentStoreLink, ResetStoreLink, StoreRejection:
		fault.Target = d.layout.Nodes[d.random.IntN(len(d.layout.Nodes))]
	case schedule.KillServer, schedule.SlowServer, schedule.Shed, schedule.ColdStart, schedule.Drain, SilentLink, ResetLink,
		SlowServerLink, OneWayLink, TrickleLink, DropResponses, FailRequests, TruncateResponses, DuplicateResponses, OmitResponseLength, ResetResponses,
		ReuseAddress, RestartServer:
		fault.Target = d.layout.Servers[d.random.IntN(len(d.layout.Servers))]
	case FloodResponses:
		fault.Target = standin.ServerName(ledgerService, d.random.IntN(ledgerServerCount))
	case CrashRequest:
		fault.Target = paths[d.random.IntN(len(paths))]
		fault.Until = max(d.lastFaultEnd, fault.At+minFaultDuration) // it is only checked after reconnectTime has passed
	case ZoneOutage, Evacuate:
		fault.Target = d.layout.Zones[d.random.IntN(len(d.layout.Zones))]
	}
	if kind == StoreRestore {
		end := max(d.lastFaultEnd, fault.At+minFaultDuration)
		fault.Delay = min(d.drawBetween(minBackupAge, maxBackupAge), end-fault.At)
		fault.Until = min(fault.Until+fault.Delay, end)
	}
	if slices.Contains([]schedule.Kind{schedule.SlowServer, SlowServerLink}, kind) {
		fault.Delay = d.drawBetween(50*time.Millisecond, 500*time.Millisecond)
	}
	return fault
}
