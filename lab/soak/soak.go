package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/schedule"
	"github.com/banksail/banksail/platform/standin"
)

var (
	// ErrInvalidOptions means that an option is invalid. The message names it.
	ErrInvalidOptions = errors.New("soak: invalid option")
	// ErrUnknownFault means that a fault's kind is unknown or does not apply to its target.
	ErrUnknownFault = errors.New("soak: unknown fault")
)

// Options configure a soak.
type Options struct {
	// Seed is the seed of the schedule.
	Seed uint64
	// Duration is the duration of the schedule.
	Duration time.Duration
	// Program is the path of the node program. Arguments are passed to it, and Environment is added
	// to the environment.
	Program                string
	Arguments, Environment []string
	// Kinds are the kinds of faults to inject; empty means all.
	Kinds []schedule.Kind
	// Directory is an existing directory to which settings files and logs are written.
	Directory string
	// NodeApplyBound is the bound for applying a configuration that is configured at the nodes, if
	// it is to differ from the one that is checked; zero means that it does not differ.
	NodeApplyBound time.Duration
	// MemoryMB is the memory limit of each process, which is configured and checked; default
	// DefaultMemoryMB.
	MemoryMB int
	// ReportProgress receives a line of text for each event; nil discards them.
	ReportProgress func(format string, arguments ...any)
}

func (o *Options) validate() error {
	switch {
	case o.Duration < MinDuration:
		return fmt.Errorf("%w: duration: must be at least %s", ErrInvalidOptions, MinDuration)
	case o.Program == "":
		return fmt.Errorf("%w: program: must not be empty", ErrInvalidOptions)
	}
	for _, kind := range o.Kinds {
		if !slices.Contains(Kinds(), kind) {
			return fmt.Errorf("%w: kinds: %q is unknown", ErrInvalidOptions, kind)
		}
	}
	if info, err := os.Stat(o.Directory); err != nil || !info.IsDir() {
		return fmt.Errorf("%w: directory: %q is not a directory", ErrInvalidOptions, o.Directory)
	}
	o.MemoryMB = cmp.Or(o.MemoryMB, DefaultMemoryMB)
	if o.ReportProgress == nil {
		o.ReportProgress = func(string, ...any) {}
	}
	return nil
}

// DefaultMemoryMB is the default of Options.MemoryMB.
const DefaultMemoryMB = 284

// Run runs one soak and checks it. It ends every process that it started, also if ctx ends.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	epoch := time.Now()
	f := &fleet{
		options: options, layout: DefaultLayout(), directory: options.Directory, store: standin.NewStore(),
		recorder: history.NewRecorder(epoch), setCount: 1,
	}
	defer f.close()
	if err := f.start(); err != nil {
		return nil, err
	}
	generated := Generate(options.Seed, options.Duration, f.layout, options.Kinds...)
	if err := f.runSchedule(ctx, generated); err != nil {
		return nil, err
	}
	return f.report(generated, epoch), ctx.Err()
}

// runSchedule runs a whole schedule under load and returns the errors of all faults.
func (f *fleet) runSchedule(ctx context.Context, generated Schedule) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var load, faults sync.WaitGroup
	var failures errorList
	load.Go(func() { f.watchPauses(ctx) })
	load.Go(func() { f.watchMemory(ctx) })
	f.forEachNode(func(n *node) { load.Go(func() { f.probeNode(ctx, n) }) })
	for number := range callerCount {
		load.Go(func() { f.newCaller(number).run(ctx) })
	}
	load.Go(func() {
		if waitUntil(ctx, f.recorder, startupPhase) == nil {
			f.measureResources(&f.initialResources)
		}
	})
	faults.Go(func() { failures.add(f.startRollout(ctx, generated.Rollout)) })
	for _, fault := range generated.Faults {
		faults.Go(func() { failures.add(f.injectFault(ctx, fault)) })
	}
	faults.Wait()
	f.recorder.Update(func(h *history.History) { h.FaultsEnd = f.recorder.Now() })
	_ = waitUntil(ctx, f.recorder, max(generated.Duration, f.recorder.Now()+recoveryPhase))
	cancel()
	load.Wait()
	f.checkResources()
	f.stopAllNodes()
	return failures.err()
}

// report checks the observations and returns the report.
func (f *fleet) report(generated Schedule, epoch time.Time) *Report {
	observed := f.record(epoch)
	checked, violations := observed.check()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	report := &Report{
		Schedule: generated, Checked: checked, Violations: append(violations, f.violations...), SentRequests: len(observed.history.Calls),
		ReceivedRequests: len(observed.arrivals), Configurations: len(observed.history.Accepted), LongestPause: f.longestPause,
	}
	checked[UnexpectedExit], checked[Resources], checked[Memory] = len(observed.history.Runs), checkedResources, f.memorySamples
	for _, answer := range observed.history.Answers {
		if answer.Kind == history.AnswerResult {
			report.Succeeded++
		}
	}
	if len(observed.rollouts) > 0 {
		report.RolloutOutcome = cmp.Or(observed.rollouts[0].ended, "no end")
	}
	return report
}
