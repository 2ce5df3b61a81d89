package soak

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/schedule"
	"github.com/banksail/banksail/platform/standin"
)

// asNode makes the test's own program a node that serves nobody, and how it ends wrongly.
const asNode = "SOAK_NODE_UNDER_TEST"

// Ways of such a node.
const (
	diesAtHangup = "dies at hangup"
	ignoresStop  = "ignores the stop"
	failsAtStop  = "fails at the stop"
)

func TestMain(m *testing.M) {
	if way := os.Getenv(asNode); way != "" {
		pretend(way)
		return
	}
	os.Exit(m.Run())
}

// pretend is a node with a seeded bug. It ends by itself after longestSoak.
func pretend(way string) {
	stop, hangup := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	signal.Notify(hangup, syscall.SIGHUP) // also where whoever runs the test ignores it
	for end := time.After(longestSoak); ; {
		select {
		case <-hangup:
			if way == diesAtHangup {
				return
			}
		case <-stop:
			switch way {
			case failsAtStop:
				os.Exit(3)
			case diesAtHangup:
				return
			}
		case <-end:
			return
		}
	}
}

const longestSoak = time.Minute

// playWith plays a short soak with a program that has a seeded bug.
func playWith(t *testing.T, way string, kinds ...schedule.Kind) *Report {
	t.Helper()
	report, err := Run(context.Background(), Options{
		Seed: 1, Duration: MinDuration, Program: os.Args[0], Environment: []string{asNode + "=" + way},
		Directory: t.TempDir(), Kinds: kinds,
	})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func (r *Report) has(invariant history.Invariant) bool {
	return slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Invariant == invariant })
}

// Processes that end by themselves, that don't end when they are asked to, and that end badly
// are found out; so are nodes that serve nobody.
func TestSeededBugsOfProcesses(t *testing.T) {
	for way, evidence := range map[string]string{
		diesAtHangup: "ended by itself",
		ignoresStop:  "had not ended",
		failsAtStop:  "exit code 3",
	} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			report := playWith(t, way, ChangeSettings)
			if !slices.ContainsFunc(report.Violations, func(v Violation) bool {
				return v.Invariant == UnexpectedExit && strings.Contains(v.Evidence, evidence)
			}) {
				t.Errorf("not found: %v", report.Violations)
			}
			if !report.has(history.Configuration) {
				t.Errorf("a configuration that is in force nowhere is not found: %v", report.Violations)
			}
		})
	}
}

// The same arguments draw the same schedule; others draw another. Every kind is drawn, hits
// something that is there, and lies between the start and the end.
func TestSchedules(t *testing.T) {
	layout := DefaultLayout()
	drawn := make(map[schedule.Kind]bool)
	for seed := range uint64(60) {
		one, again := Generate(seed, time.Minute, layout), Generate(seed, time.Minute, layout)
		if one.String() != again.String() {
			t.Fatalf("seed %d gives two schedules:\n%s\n%s", seed, one, again)
		}
		if one.String() == Generate(seed+1, time.Minute, layout).String() {
			t.Errorf("seeds %d and %d give the same schedule", seed, seed+1)
		}
		for _, fault := range one.Faults {
			drawn[fault.Kind] = true
			if fault.At < leadTime || fault.Until <= fault.At || fault.Until > time.Minute-tailTime+shortestFault {
				t.Errorf("seed %d: %s", seed, fault)
			}
			all := slices.Concat(layout.Nodes, layout.Servers, layout.Zones, paths)
			if fault.Target != "" && !slices.Contains(all, fault.Target) {
				t.Errorf("seed %d: %s hits nothing", seed, fault)
			}
		}
	}
	for _, kind := range Kinds() {
		if !drawn[kind] {
			t.Errorf("%s is never drawn", kind)
		}
	}
	only := Generate(3, time.Minute, layout, Evacuate)
	for _, fault := range only.Faults {
		if fault.Kind != Evacuate {
			t.Errorf("%s is drawn where only evacuations are asked for", fault.Kind)
		}
	}
}

// What a seed draws of one kind does not depend on which others there are: 307 of all kinds was
// another day once a kind had come in.
func TestSeedsKeepWhatTheyDraw(t *testing.T) {
	layout, kinds := DefaultLayout(), Kinds()
	for seed := range uint64(20) {
		all := Generate(seed, time.Minute, layout)
		fewer := drawEach(seed, time.Minute, layout, kinds[:len(kinds)-3])
		if all.Rollout != fewer.Rollout {
			t.Errorf("seed %d: roll-outs %+v and %+v", seed, all.Rollout, fewer.Rollout)
		}
		for _, kind := range kinds[:len(kinds)-3] {
			if one, other := faultsOf(all, kind), faultsOf(fewer, kind); !slices.Equal(one, other) {
				t.Errorf("seed %d: %v and %v", seed, one, other)
			}
		}
	}
}

func faultsOf(drawn Schedule, kind schedule.Kind) (faults []string) {
	for _, fault := range drawn.Faults {
		if fault.Kind == kind {
			faults = append(faults, fault.String())
		}
	}
	return faults
}

// Seeds with kinds that are named draw what they drew when they found something.
func TestNamedKindsKeepTheirSchedules(t *testing.T) {
	drawn := Generate(9102, 40*time.Second, DefaultLayout(), CrashRequest, Configure, ConfigureBurst)
	const known = `seed 9102, 40s
5s roll-out within 21.933s, bad: "fails_later", replaced: false
5s..8.947s configure_often   0s
6.486s..24s deadly_request /page/  0s
9.624s..11.308s configure   0s
12.705s..24s deadly_request /enter/  0s
13.248s..16.339s configure   0s
16.26s..17.844s configure   0s
18.245s..21.794s configure   0s
20.423s..24s deadly_request /page/  0s
22.711s..23.775s configure   0s
`
	if drawn.String() != known {
		t.Errorf("drawn:\n%s", drawn)
	}
}

// Options that can't be followed get an error that names them.
func TestOptions(t *testing.T) {
	good := Options{Duration: MinDuration, Program: "x", Directory: t.TempDir()}
	for field, spoil := range map[string]func(o *Options){
		"duration":  func(o *Options) { o.Duration = time.Second },
		"program":   func(o *Options) { o.Program = "" },
		"kinds":     func(o *Options) { o.Kinds = []schedule.Kind{"rain"} },
		"directory": func(o *Options) { o.Directory = "/nowhere" },
	} {
		spoilt := good
		spoil(&spoilt)
		if _, err := Run(context.Background(), spoilt); !errors.Is(err, ErrInvalidOptions) || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// quietRecord is a record in which nothing is wrong: a request a second for each service.
func quietRecord() *record {
	r := &record{history: &history.History{End: time.Minute}}
	for second := range 60 {
		at := time.Duration(second) * time.Second
		for _, service := range []string{ledger, shardName(1, 0)} {
			r.arrivals = append(r.arrivals, arrival{
				at: at, request: service + at.String(), server: service + "-server-0", service: service, zone: "zone-a",
				version: usualVersion, caller: "front-0", executed: true,
			})
		}
	}
	return r
}

// Each judge finds what it is there for, and nothing else, in records with one thing wrong.
func TestJudgesFindWhatIsWrong(t *testing.T) {
	target := func(at time.Duration) arrival {
		return arrival{at: at, request: "t" + at.String(), server: "ledger-server-10", service: ledger, version: targetVersion, caller: "front-1", executed: true}
	}
	badOrder := order{
		target: targetVersion, bad: FailsAlways, at: 10 * time.Second, deadline: 30 * time.Second,
		ended: standin.RolloutRolledBack, endedAt: 17 * time.Second,
	}
	for name, test := range map[string]struct {
		spoil func(r *record)
		want  history.Invariant
	}{
		"nothing is wrong": {func(*record) {}, ""},
		"a denied request": {func(r *record) {
			r.history.Calls = append(r.history.Calls, history.Call{ID: 1, RequestID: "x", Class: searchPath, Abandoned: true})
			r.history.Answers = append(r.history.Answers, history.Answer{Call: 1, Kind: history.AnswerRefusal, Reason: noRoute})
		}, RouteNotFound},
		"repeats over the budget": {func(r *record) {
			for number := range budgetExtra + 5 {
				repeated := r.arrivals[20]
				repeated.at += time.Duration(number) * time.Millisecond
				r.arrivals = append(r.arrivals, repeated)
			}
		}, Budget},
		"repeats within the budget": {func(r *record) {
			for number := range budgetExtra {
				repeated := r.arrivals[20]
				repeated.at += time.Duration(number) * time.Millisecond
				r.arrivals = append(r.arrivals, repeated)
			}
		}, ""},
		"a bad version gets more than its part": {func(r *record) {
			r.orders = []order{badOrder}
			for number := range exposureSlack + 10 {
				r.arrivals = append(r.arrivals, target(11*time.Second+time.Duration(number)*time.Millisecond))
			}
		}, Exposure},
		"a bad version gets more than that of a node that was cut off": {func(r *record) {
			r.orders = []order{badOrder}
			for number := range exposureSlack + 10 {
				r.arrivals = append(r.arrivals, target(11*time.Second+time.Duration(number)*time.Millisecond))
			}
			r.history.Disturbances = []history.Disturbance{{Kind: history.Isolated, Host: "front-1", From: 9 * time.Second, To: 12 * time.Second}}
		}, ""},
		"a bad version gets more than that of a node that was cut off before": {func(r *record) {
			r.orders = []order{badOrder}
			for number := range exposureSlack + 10 {
				r.arrivals = append(r.arrivals, target(18*time.Second+time.Duration(number)*time.Millisecond))
			}
			r.history.Disturbances = []history.Disturbance{{Kind: history.Isolated, Host: "front-1", From: 9 * time.Second, To: 12 * time.Second}}
		}, Exposure},
		"a good version gets more than that": {func(r *record) {
			good := badOrder
			good.bad, good.ended, good.endedAt = NoDefect, standin.RolloutCompleted, 25*time.Second
			r.orders = []order{good}
			for number := range exposureSlack + 10 {
				r.arrivals = append(r.arrivals, target(11*time.Second+time.Duration(number)*time.Millisecond))
			}
		}, ""},
		"a bad version gets a request too late": {func(r *record) {
			r.orders = []order{badOrder}
			for range lateBad {
				r.bad = append(r.bad, 12*time.Second)
			}
			r.arrivals = append(r.arrivals, target(18*time.Second))
		}, Exposure},
		"a roll-out has no end": {func(r *record) {
			good := badOrder
			good.bad, good.ended = NoDefect, ""
			r.orders = []order{good}
		}, RolloutEnd},
		"a bad version is put in force": {func(r *record) {
			ended := badOrder
			ended.ended, ended.endedAt = standin.RolloutCompleted, 25*time.Second
			r.orders = []order{ended}
		}, RolloutEnd},
		"an evacuated zone gets requests": {func(r *record) {
			r.evacuations = []evacuation{{zone: "zone-a", from: 20 * time.Second, until: 30 * time.Second}}
		}, Evacuation},
		"an evacuated zone gets requests of a node that was cut off": {func(r *record) {
			r.evacuations = []evacuation{{zone: "zone-a", from: 20 * time.Second, until: 30 * time.Second}}
			r.history.Disturbances = []history.Disturbance{{Kind: history.Isolated, Host: "front-0", From: 19 * time.Second, To: 40 * time.Second}}
		}, ""},
		"requests before the evacuation's bound": {func(r *record) {
			r.evacuations = []evacuation{{zone: "zone-a", from: 20 * time.Second, until: 22 * time.Second}}
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := quietRecord()
			test.spoil(r)
			slices.SortStableFunc(r.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
			_, violations := r.judge()
			for _, violation := range violations {
				if violation.Invariant != test.want {
					t.Errorf("found %s", violation)
				}
			}
			if test.want != "" && len(violations) == 0 {
				t.Error("nothing is found")
			}
		})
	}
}

// Eleven requests ended the servers of a slow version one after the other; those that came in their
// place answered as fast as any, and so the version was put in force: 161 of 516 requests went
// to it. A version that is bad is so on every server that runs it.
func TestServersOfABadVersionComeBackAsBad(t *testing.T) {
	f := &fleet{
		layout: DefaultLayout(), store: standin.NewStore(), servers: make(map[string]*server),
		badness:  map[string]standin.Defect{targetVersion: defectOf(RespondsSlowly, time.Now())},
		recorder: history.NewRecorder(time.Now()),
	}
	defer f.close()
	first, err := f.startServer(ledger, targetNumber, 0, 0, targetVersion, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.bringBack(first, func() {}, 0); err != nil {
		t.Fatal(err)
	}
	for _, s := range f.allServers() {
		s.Set(func() {
			if s.Defect.Slow == 0 {
				t.Errorf("%s of %s is not slow", s.ID, s.Version)
			}
		})
	}
	if len(f.allServers()) != 2 {
		t.Errorf("%d servers", len(f.allServers()))
	}
}
