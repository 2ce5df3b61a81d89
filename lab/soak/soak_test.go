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

// nodeBugVariable is the environment variable that makes the test binary act as a node that serves
// no requests and has the named bug.
const nodeBugVariable = "SOAK_NODE_UNDER_TEST"

// Bugs of such a node.
const (
	exitsOnHangup = "dies at hangup"
	ignoresTerm   = "ignores the stop"
	failsOnTerm   = "fails at the stop"
)

func TestMain(m *testing.M) {
	if bug := os.Getenv(nodeBugVariable); bug != "" {
		runFaultyNode(bug)
		return
	}
	os.Exit(m.Run())
}

// runFaultyNode is a node with a seeded bug. It exits on its own after maxNodeLifetime.
func runFaultyNode(bug string) {
	term, hangup := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	signal.Notify(hangup, syscall.SIGHUP) // also if the parent process ignores SIGHUP
	for end := time.After(maxNodeLifetime); ; {
		select {
		case <-hangup:
			if bug == exitsOnHangup {
				return
			}
		case <-term:
			switch bug {
			case failsOnTerm:
				os.Exit(3)
			case exitsOnHangup:
				return
			}
		case <-end:
			return
		}
	}
}

const maxNodeLifetime = time.Minute

// runSoakWith runs a short soak against a program with a seeded bug.
func runSoakWith(t *testing.T, bug string, kinds ...schedule.Kind) *Report {
	t.Helper()
	report, err := Run(context.Background(), Options{
		Seed: 1, Duration: MinDuration, Program: os.Args[0], Environment: []string{nodeBugVariable + "=" + bug},
		Directory: t.TempDir(), Kinds: kinds, MemoryMB: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func (r *Report) hasViolation(invariant history.Invariant) bool {
	return slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Invariant == invariant })
}

// A soak must detect processes that exit unasked, ignore a stop or exit with an error, and nodes
// that do not put configurations in force or exceed their memory limit.
func TestSoakDetectsFaultyProcesses(t *testing.T) {
	for bug, evidence := range map[string]string{
		exitsOnHangup: "ended by itself",
		ignoresTerm:   "had not ended",
		failsOnTerm:   "exit code 3",
	} {
		t.Run(bug, func(t *testing.T) {
			t.Parallel()
			report := runSoakWith(t, bug, ChangeSettings)
			if !slices.ContainsFunc(report.Violations, func(v Violation) bool {
				return v.Invariant == UnexpectedExit && strings.Contains(v.Evidence, evidence)
			}) {
				t.Errorf("violation was not detected; violations: %v", report.Violations)
			}
			if !report.hasViolation(Memory) {
				t.Errorf("processes with more than 1 MB of memory were not detected; violations: %v", report.Violations)
			}
			if !report.hasViolation(history.Configuration) {
				t.Errorf("configuration that is in force at no node was not detected; violations: %v", report.Violations)
			}
		})
	}
}

// The same arguments must generate the same schedule, and another seed another one. Every kind must
// be generated, with an existing target, between the start-up and recovery phases.
func TestGeneratedSchedules(t *testing.T) {
	layout := DefaultLayout()
	generatedKinds := make(map[schedule.Kind]bool)
	for seed := range uint64(60) {
		first, second := Generate(seed, time.Minute, layout), Generate(seed, time.Minute, layout)
		if first.String() != second.String() {
			t.Fatalf("seed %d generates two different schedules:\n%s\n%s", seed, first, second)
		}
		if first.String() == Generate(seed+1, time.Minute, layout).String() {
			t.Errorf("seeds %d and %d generate the same schedule", seed, seed+1)
		}
		for _, fault := range first.Faults {
			generatedKinds[fault.Kind] = true
			if fault.At < startupPhase || fault.Until <= fault.At || fault.Until > time.Minute-recoveryPhase+minFaultDuration {
				t.Errorf("seed %d: fault lies outside its time range: %s", seed, fault)
			}
			targets := slices.Concat(layout.Nodes, layout.Servers, layout.Zones, paths)
			if fault.Target != "" && !slices.Contains(targets, fault.Target) {
				t.Errorf("seed %d: fault has an unknown target: %s", seed, fault)
			}
		}
	}
	for _, kind := range Kinds() {
		if !generatedKinds[kind] {
			t.Errorf("no fault of kind %s was generated", kind)
		}
	}
	only := Generate(3, time.Minute, layout, Evacuate)
	for _, fault := range only.Faults {
		if fault.Kind != Evacuate {
			t.Errorf("generated a fault of kind %s, want evacuations only", fault.Kind)
		}
	}
}

// The faults that a seed generates for one kind must not depend on the other kinds. Otherwise
// adding a kind changes what seeds of all kinds reproduce, as it did with seed 307.
func TestScheduleOfKindIsIndependentOfOthers(t *testing.T) {
	layout, kinds := DefaultLayout(), Kinds()
	for seed := range uint64(20) {
		all := Generate(seed, time.Minute, layout)
		fewer := generatePerKind(seed, time.Minute, layout, kinds[:len(kinds)-3])
		if all.Rollout != fewer.Rollout {
			t.Errorf("seed %d: roll-outs differ: %+v and %+v", seed, all.Rollout, fewer.Rollout)
		}
		for _, kind := range kinds[:len(kinds)-3] {
			if one, other := faultsOfKind(all, kind), faultsOfKind(fewer, kind); !slices.Equal(one, other) {
				t.Errorf("seed %d: faults differ: %v and %v", seed, one, other)
			}
		}
	}
}

func faultsOfKind(generated Schedule, kind schedule.Kind) (faults []string) {
	for _, fault := range generated.Faults {
		if fault.Kind == kind {
			faults = append(faults, fault.String())
		}
	}
	return faults
}

// Seeds with named kinds must keep generating the schedules with which they found failures.
func TestScheduleOfNamedKindsIsStable(t *testing.T) {
	generated := Generate(9102, 40*time.Second, DefaultLayout(), CrashRequest, Configure, ConfigureBurst)
	const want = `seed 9102, 40s
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
	if generated.String() != want {
		t.Errorf("schedule changed:\n%s", generated)
	}
}

// Run must reject invalid options with an error that names the option.
func TestRunRejectsInvalidOptions(t *testing.T) {
	valid := Options{Duration: MinDuration, Program: "x", Directory: t.TempDir()}
	for field, invalidate := range map[string]func(o *Options){
		"duration":  func(o *Options) { o.Duration = time.Second },
		"program":   func(o *Options) { o.Program = "" },
		"kinds":     func(o *Options) { o.Kinds = []schedule.Kind{"rain"} },
		"directory": func(o *Options) { o.Directory = "/nowhere" },
	} {
		invalid := valid
		invalidate(&invalid)
		if _, err := Run(context.Background(), invalid); !errors.Is(err, ErrInvalidOptions) || !strings.Contains(err.Error(), field) {
			t.Errorf("invalid %s: error is %v, want one that names the option", field, err)
		}
	}
}

// newHealthyRecord returns a record without violations, with one request per second for each
// service.
func newHealthyRecord() *record {
	r := &record{history: &history.History{End: time.Minute}}
	for second := range 60 {
		at := time.Duration(second) * time.Second
		for _, service := range []string{ledgerService, shardName(1, 0)} {
			r.arrivals = append(r.arrivals, arrival{
				at: at, request: service + at.String(), server: service + "-server-0", service: service, zone: "zone-a",
				version: baseVersion, caller: "front-0", executed: true,
			})
		}
	}
	return r
}

// Each check must find the violation in a record that contains just that one, and no other.
func TestRecordCheckFindsViolations(t *testing.T) {
	target := func(at time.Duration) arrival {
		return arrival{at: at, request: "t" + at.String(), server: "ledger-server-10", service: ledgerService, version: targetVersion, caller: "front-1", executed: true}
	}
	defectiveRollout := rollout{
		target: targetVersion, bad: FailsAlways, at: 10 * time.Second, deadline: 30 * time.Second,
		ended: standin.RolloutRolledBack, endedAt: 17 * time.Second,
	}
	for name, test := range map[string]struct {
		modify func(r *record)
		want   history.Invariant
	}{
		"nothing is wrong": {func(*record) {}, ""},
		"a denied request": {func(r *record) {
			r.history.Calls = append(r.history.Calls, history.Call{ID: 1, RequestID: "x", Class: searchPath, Abandoned: true})
			r.history.Answers = append(r.history.Answers, history.Answer{Call: 1, Kind: history.AnswerRefusal, Reason: reasonNoRoute})
		}, RouteNotFound},
		"a request that is called invalid": {func(r *record) {
			r.history.Calls = append(r.history.Calls, history.Call{ID: 1, RequestID: "x", Class: optionalPath, Abandoned: true})
			r.history.Answers = append(r.history.Answers, history.Answer{Call: 1, Kind: history.AnswerRefusal, Reason: reasonInvalid})
		}, RouteNotFound},
		"a removed route": {func(r *record) {
			r.history.Calls = append(r.history.Calls, history.Call{ID: 1, RequestID: "x", Class: optionalPath, Abandoned: true})
			r.history.Answers = append(r.history.Answers, history.Answer{Call: 1, Kind: history.AnswerRefusal, Reason: reasonNoRoute})
		}, ""},
		"repeats over the budget": {func(r *record) {
			for index := range budgetExtra + 5 {
				repeated := r.arrivals[20]
				repeated.at += time.Duration(index) * time.Millisecond
				r.arrivals = append(r.arrivals, repeated)
			}
		}, Budget},
		"repeats within the budget": {func(r *record) {
			for index := range budgetExtra {
				repeated := r.arrivals[20]
				repeated.at += time.Duration(index) * time.Millisecond
				r.arrivals = append(r.arrivals, repeated)
			}
		}, ""},
		"a bad version gets more than its part": {func(r *record) {
			r.rollouts = []rollout{defectiveRollout}
			for index := range exposureSlack + 10 {
				r.arrivals = append(r.arrivals, target(11*time.Second+time.Duration(index)*time.Millisecond))
			}
		}, Exposure},
		"a bad version gets more than that of a node that was cut off": {func(r *record) {
			r.rollouts = []rollout{defectiveRollout}
			for index := range exposureSlack + 10 {
				r.arrivals = append(r.arrivals, target(11*time.Second+time.Duration(index)*time.Millisecond))
			}
			r.history.Disturbances = []history.Disturbance{{Kind: history.Isolated, Host: "front-1", From: 9 * time.Second, To: 12 * time.Second}}
		}, ""},
		"a bad version gets more than that of a node that was cut off before": {func(r *record) {
			r.rollouts = []rollout{defectiveRollout}
			for index := range exposureSlack + 10 {
				r.arrivals = append(r.arrivals, target(18*time.Second+time.Duration(index)*time.Millisecond))
			}
			r.history.Disturbances = []history.Disturbance{{Kind: history.Isolated, Host: "front-1", From: 9 * time.Second, To: 12 * time.Second}}
		}, Exposure},
		"a good version gets more than that": {func(r *record) {
			healthyRollout := defectiveRollout
			healthyRollout.bad, healthyRollout.ended, healthyRollout.endedAt = NoDefect, standin.RolloutCompleted, 25*time.Second
			r.rollouts = []rollout{healthyRollout}
			for index := range exposureSlack + 10 {
				r.arrivals = append(r.arrivals, target(11*time.Second+time.Duration(index)*time.Millisecond))
			}
		}, ""},
		"a bad version gets a request too late": {func(r *record) {
			r.rollouts = []rollout{defectiveRollout}
			for range rollbackResponses {
				r.bad = append(r.bad, 12*time.Second)
			}
			r.arrivals = append(r.arrivals, target(18*time.Second))
		}, Exposure},
		"a roll-out has no end": {func(r *record) {
			healthyRollout := defectiveRollout
			healthyRollout.bad, healthyRollout.ended = NoDefect, ""
			r.rollouts = []rollout{healthyRollout}
		}, RolloutEnd},
		"a bad version is put in force": {func(r *record) {
			ended := defectiveRollout
			ended.ended, ended.endedAt = standin.RolloutCompleted, 25*time.Second
			r.rollouts = []rollout{ended}
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
			r := newHealthyRecord()
			test.modify(r)
			slices.SortStableFunc(r.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
			_, violations := r.check()
			for _, violation := range violations {
				if violation.Invariant != test.want {
					t.Errorf("unexpected violation: %s", violation)
				}
			}
			if test.want != "" && len(violations) == 0 {
				t.Error("violation was not detected")
			}
		})
	}
}

// Replacements of servers of a defective version must have its defect. After eleven requests had
// crashed the servers of a slow version one after the other, their replacements were fast, so the
// version was completed and got 161 of 516 requests.
func TestReplacedServersKeepDefect(t *testing.T) {
	f := &fleet{
		layout: DefaultLayout(), store: standin.NewStore(), servers: make(map[string]*server),
		defects:  map[string]standin.Defect{targetVersion: serverDefect(RespondsSlowly, time.Now())},
		recorder: history.NewRecorder(time.Now()),
	}
	defer f.close()
	first, err := f.startServer(ledgerService, firstTargetNumber, 0, 0, targetVersion, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.replaceServer(first, func() {}, 0); err != nil {
		t.Fatal(err)
	}
	for _, s := range f.allServers() {
		s.Set(func() {
			if s.Defect.Slow == 0 {
				t.Errorf("server %s of version %s does not have the defect", s.ID, s.Version)
			}
		})
	}
	if len(f.allServers()) != 2 {
		t.Errorf("got %d servers, want 2", len(f.allServers()))
	}
}
