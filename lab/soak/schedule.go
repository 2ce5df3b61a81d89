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
)

// Kinds of faults that only a soak knows; the others are those of package schedule.
const (
	// ChangeSettings rewrites a node's settings file and signals it, Misspell writes one
	// that can't be read first.
	ChangeSettings  schedule.Kind = "change_settings"
	InvalidSettings schedule.Kind = "misspell_settings"
	// ReplaceNode ends a node for good without a word; another one, at another address,
	// comes at Until.
	ReplaceNode schedule.Kind = "replace_node"
	// ZoneOutage freezes all nodes of a zone and silences all its servers.
	ZoneOutage schedule.Kind = "dark_zone"
	// SilentStoreLink silences one node's link to the store, ResetStoreLink breaks it off, StoreRejection
	// has the store turn that node away.
	SilentStoreLink schedule.Kind = "store_cut"
	ResetStoreLink  schedule.Kind = "store_reset"
	StoreRejection  schedule.Kind = "store_refuse"
	// StoreDropHistory drops the store's history, StoreMuteWatches lets watches hear nothing.
	StoreDropHistory schedule.Kind = "store_forget"
	StoreMuteWatches schedule.Kind = "store_deaf"
	// StoreRestore has the store come back at Until from a copy that is taken at At, after it was
	// away from Delay later on.
	StoreRestore schedule.Kind = "store_restore"
	// SilentLink, ResetLink, SlowServerLink, OneWayLink and Drip harm the link to a server.
	SilentLink     schedule.Kind = "silent_link"
	ResetLink      schedule.Kind = "reset_link"
	SlowServerLink schedule.Kind = "slow_server_link"
	OneWayLink     schedule.Kind = "one_way_link"
	TrickleLink    schedule.Kind = "drip"
	// DropResponses has a server run requests and break off, FailRequests has it fail them.
	DropResponses schedule.Kind = "lose_answers"
	FailRequests  schedule.Kind = "fail_answers"
	// TruncateResponses ends answers in the middle, DuplicateResponses sends each twice, OmitResponseLength
	// sends them without a length, ResetResponses does and breaks them off.
	TruncateResponses  schedule.Kind = "cut_answers"
	DuplicateResponses schedule.Kind = "double_answers"
	OmitResponseLength schedule.Kind = "endless_answers"
	ResetResponses     schedule.Kind = "reset_answers"
	// ReuseAddress ends a server; its address goes to a server of another service.
	ReuseAddress schedule.Kind = "reuse_address"
	// RestartServer ends a server; it comes back under its ID and at its address.
	RestartServer schedule.Kind = "return_server"
	// InvalidEntries writes entries that no server writes among those of the servers.
	InvalidEntries schedule.Kind = "odd_entries"
	// Configure writes a version of the configuration, ConfigureBurst many in a row.
	Configure      schedule.Kind = "configure"
	ConfigureBurst schedule.Kind = "configure_often"
	// Reshard moves searches to another set of shards.
	Reshard schedule.Kind = "reshard"
	// Evacuate empties a zone until Until.
	Evacuate schedule.Kind = "evacuate"
	// CrashRequest sends a request again and again, to one node after the other, under which
	// the servers end that run it.
	CrashRequest schedule.Kind = "deadly_request"
)

// Kinds lists the faults that a soak draws from.
func Kinds() []schedule.Kind {
	return []schedule.Kind{
		schedule.KillNode, schedule.FreezeNode, schedule.PlannedStop, schedule.RestartNodes, ChangeSettings, InvalidSettings,
		ReplaceNode, ZoneOutage, schedule.StoreOutage, schedule.StoreFreeze, schedule.StoreLostReply, SilentStoreLink, ResetStoreLink,
		StoreRejection, StoreDropHistory, StoreMuteWatches, schedule.KillServer, schedule.SlowServer, schedule.Shed, schedule.ColdStart,
		schedule.Drain, SilentLink, ResetLink, SlowServerLink, OneWayLink, TrickleLink, DropResponses, FailRequests, TruncateResponses, DuplicateResponses,
		OmitResponseLength, ResetResponses, ReuseAddress, Configure, ConfigureBurst, Reshard, Evacuate,
		CrashRequest, RestartServer, InvalidEntries, StoreRestore,
	}
}

// Order is a roll-out that a schedule holds.
type RolloutOrder struct {
	At time.Duration
	// Duration is the time until its deadline.
	Duration time.Duration
	// Defect names how the version is bad; empty is good.
	Defect Defect
	// Replaced says that another order, of the version that runs, takes its place midway.
	Replaced bool
}

// Defect names how a version is bad.
type Defect string

// How versions are bad.
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

// Schedule is what a seed brings about.
type Schedule struct {
	Seed     uint64
	Duration time.Duration
	Faults   []schedule.Fault
	// Rollout is the roll-out; its Duration is zero if there is none.
	Rollout RolloutOrder
}

// String prints the schedule, a line a fault.
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
	// startupPhase is the time before the first fault, in which all nodes start, and recoveryPhase the
	// one after the last in which the system must recover and is then seen to be whole.
	startupPhase  = 5 * time.Second
	recoveryPhase = RecoveryBound + 4*time.Second
	// minFaultDuration and maxFaultDuration bound a fault's length; one starts every maxFaultInterval or
	// sooner, so that two or three go on at a time.
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	maxFaultInterval = 4 * time.Second
	// minBackupAge and maxBackupAge bound how old a copy is when the store goes.
	minBackupAge = time.Second
	maxBackupAge = 6 * time.Second
	// minRolloutDuration is the least duration of a roll-out. It ends before the soak does.
	minRolloutDuration = 13 * time.Second
	maxRolloutDuration = 24 * time.Second
	// meanFaultInterval is the mean time between two faults of one kind where all kinds are drawn from: with
	// the kinds that there are, one fault starts every 2 s.
	meanFaultInterval = 80 * time.Second
	// rolloutShare is the part of the schedules that hold a roll-out.
	rolloutShare = 0.7
	// scheduleStream parts the schedule's random numbers from other users of a seed, and
	// rolloutStream those of the roll-out from those of the kinds.
	scheduleStream = 0x736f616b
	rolloutStream  = 0x726f6c6c
)

// MinDuration is the least length of a soak: one fault must fit.
const MinDuration = startupPhase + recoveryPhase + 2*time.Second

// Generate draws the schedule of a seed over nodes and servers; the same arguments give the same
// schedule. Whichever kinds are named are drawn; none is all, each by itself, so that a seed keeps
// what it draws of the others when a kind is added.
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

// generatePerKind draws the faults of each kind from a generator of its own.
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

// drawInterval is the time between two faults of one kind.
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

// drawFault draws what a fault hits and when it ends.
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
	case CrashRequest:
		fault.Target = paths[d.random.IntN(len(paths))]
		fault.Until = max(d.lastFaultEnd, fault.At+minFaultDuration) // what is judged begins after contactTime
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
