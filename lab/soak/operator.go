package soak

import (
	"context"
	"slices"
	"time"

	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/platform/standin"
)

// reshard moves searches to a new set of shards. The old servers drain after the new configuration
// is due at all nodes.
func (f *fleet) reshard(ctx context.Context) error {
	f.mutex.Lock()
	f.setCount++
	set := f.setCount
	f.mutex.Unlock()
	if err := f.startShards(set); err != nil {
		return err
	}
	_ = clock.Sleep(ctx, reshardStartTime)
	f.mutex.Lock()
	oldSet := f.set
	f.set = set
	f.mutex.Unlock()
	f.writeConfiguration()
	_ = clock.Sleep(ctx, drainDelay)
	for _, s := range f.allServers() {
		if s.set == oldSet && !f.hasStopped(s) {
			f.drainServer(s)
		}
	}
	return nil
}

// evacuateZone evacuates a zone until wait returns, and for evacuateBound at least. It does nothing
// if the zone is being evacuated already.
func (f *fleet) evacuateZone(zone string, wait func()) {
	f.mutex.Lock()
	index := len(f.evacuations)
	alreadyEvacuated := slices.ContainsFunc(f.evacuations, func(e evacuation) bool { return e.zone == zone && e.until == 0 })
	if !alreadyEvacuated {
		f.evacuations = append(f.evacuations, evacuation{zone: zone, from: f.recorder.Now()})
	}
	f.mutex.Unlock()
	if alreadyEvacuated {
		return
	}
	f.store.Evacuate(zone)
	wait()
	_ = clock.Sleep(context.Background(), evacuateBound) // a shorter evacuation would not be checked at all
	f.mutex.Lock()
	f.evacuations[index].until = f.recorder.Now()
	f.store.EndEvacuation(zone)
	f.mutex.Unlock()
}

// rollout is an ordered roll-out. bad is the defect of the target version, at the time of the
// order, and ended the final state, empty until it ends.
type rollout struct {
	target, ended string
	bad           Defect
	at, deadline  time.Duration
	endedAt       time.Duration
	replacedAt    time.Duration
}

// statusInterval is the time between two reads of a roll-out's status.
const statusInterval = 20 * time.Millisecond

// startRollout starts servers of the target version, orders the roll-out and, when it ends, stops
// or drains servers as the platform does.
func (f *fleet) startRollout(ctx context.Context, generated RolloutOrder) error {
	if generated.Duration == 0 || clock.Sleep(ctx, generated.At-f.recorder.Now()) != nil {
		return nil
	}
	f.options.ReportProgress("%8.3f s  roll-out to v2 within %s, bad: %q", f.recorder.Now().Seconds(), generated.Duration, generated.Defect)
	f.mutex.Lock()
	f.defects[targetVersion] = serverDefect(generated.Defect, time.Now().Add(generated.Duration/4))
	f.mutex.Unlock()
	var targets []*server
	for number := range targetServerCount {
		s, err := f.startServer(ledgerService, firstTargetNumber+number, 0, 0, targetVersion, nil)
		if err != nil {
			return err
		}
		targets = append(targets, s)
	}
	o := &rollout{target: targetVersion, bad: generated.Defect, at: f.recorder.Now(), deadline: f.recorder.Now() + generated.Duration}
	f.mutex.Lock()
	f.rollouts = append(f.rollouts, o)
	f.mutex.Unlock()
	f.store.OrderRollout(ledgerService, targetVersion, generated.Duration)
	if generated.Replaced {
		_ = clock.Sleep(ctx, generated.Duration/3)
		f.mutex.Lock()
		o.replacedAt = f.recorder.Now()
		f.mutex.Unlock()
		f.store.OrderRollout(ledgerService, baseVersion, generated.Duration)
		return nil
	}
	return f.awaitRolloutEnd(ctx, o, targets)
}

// targetVersion is the version that a roll-out moves to.
const targetVersion = "v2"

// rolloutEndMargin is the time after its deadline for which the end of a roll-out is still awaited.
const rolloutEndMargin = 2 * time.Second

// awaitRolloutEnd waits until a roll-out ends. If it was completed, the old servers stop at once;
// if it was rolled back, the new ones drain.
func (f *fleet) awaitRolloutEnd(ctx context.Context, o *rollout, targets []*server) error {
	for clock.Sleep(ctx, statusInterval) == nil && f.recorder.Now() < o.deadline+rolloutEndMargin {
		status, err := f.store.ReadRolloutStatus(ledgerService)
		if err != nil {
			return err
		}
		if status.State != standin.RolloutCompleted && status.State != standin.RolloutRolledBack {
			continue
		}
		f.mutex.Lock()
		o.ended, o.endedAt = status.State, f.recorder.Now()
		f.mutex.Unlock()
		f.options.ReportProgress("%8.3f s  roll-out: %s", f.recorder.Now().Seconds(), status.State)
		if status.State == standin.RolloutCompleted {
			for _, s := range f.allServers() {
				if s.Service == ledgerService && s.Version != targetVersion {
					f.removeServer(s)
				}
			}
			return nil
		}
		_ = clock.Sleep(ctx, drainDelay)
		for _, s := range targets {
			if !f.hasStopped(s) {
				f.drainServer(s)
			}
		}
		return nil
	}
	return nil
}

// serverDefect returns the behaviour of servers of a defective version. startsAt is the time from
// which the defect FailsLater shows.
func serverDefect(defect Defect, startsAt time.Time) standin.Defect {
	switch defect {
	case FailsAlways:
		return standin.Defect{FailEvery: 1}
	case FailsOneInThree:
		return standin.Defect{FailEvery: 3}
	case RespondsSlowly:
		return standin.Defect{Slow: 6}
	case FailsLater:
		return standin.Defect{FailEvery: 2, StartsAt: startsAt}
	case FailsOnRoute:
		return standin.Defect{FailEvery: 2, PathPrefix: enterPath}
	case FailsUnderLoad:
		return standin.Defect{FailEvery: 1, MinConcurrency: 2}
	default:
		return standin.Defect{}
	}
}
