package soak

import (
	"context"
	"slices"
	"time"

	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/platform/standin"
)

// reshard moves searches to another set of shards; the old servers drain once the new
// configuration is due everywhere.
func (f *fleet) reshard(ctx context.Context) error {
	f.mutex.Lock()
	f.sets++
	set := f.sets
	f.mutex.Unlock()
	if err := f.startShards(set); err != nil {
		return err
	}
	_ = clock.Sleep(ctx, reshardLead)
	f.mutex.Lock()
	old := f.set
	f.set = set
	f.mutex.Unlock()
	f.configure()
	_ = clock.Sleep(ctx, reshardTail)
	for _, s := range f.allServers() {
		if s.set == old && !f.hasEnded(s) {
			f.drain(s)
		}
	}
	return nil
}

// evacuate empties a zone for a while, unless it is to be empty already.
func (f *fleet) evacuate(zone string, wait func()) {
	f.mutex.Lock()
	place := len(f.evacuations)
	empty := slices.ContainsFunc(f.evacuations, func(e evacuation) bool { return e.zone == zone && e.until == 0 })
	if !empty {
		f.evacuations = append(f.evacuations, evacuation{zone: zone, from: f.recorder.Now()})
	}
	f.mutex.Unlock()
	if empty {
		return
	}
	f.store.Evacuate(zone)
	wait()
	_ = clock.Sleep(context.Background(), evacuateBound) // so long at least, or nothing is shown
	f.mutex.Lock()
	f.evacuations[place].until = f.recorder.Now()
	f.store.EndEvacuation(zone)
	f.mutex.Unlock()
}

// order is a roll-out that was ordered.
type order struct {
	target, ended string
	bad           Defect
	at, deadline  time.Duration
	endedAt       time.Duration
	replacedAt    time.Duration
}

// statusGap is the time between two looks at what the system tells of a roll-out.
const statusGap = 20 * time.Millisecond

// rollOut starts the target's servers, orders the roll-out, and does at its end what the
// platform does.
func (f *fleet) rollOut(ctx context.Context, drawn RolloutOrder) error {
	if drawn.Duration == 0 || clock.Sleep(ctx, drawn.At-f.recorder.Now()) != nil {
		return nil
	}
	f.options.ReportProgress("%8.3f s  roll-out to v2 within %s, bad: %q", f.recorder.Now().Seconds(), drawn.Duration, drawn.Defect)
	f.mutex.Lock()
	f.badness[targetVersion] = defectOf(drawn.Defect, time.Now().Add(drawn.Duration/4))
	f.mutex.Unlock()
	var targets []*server
	for number := range targetServers {
		s, err := f.startServer(ledger, targetNumber+number, 0, 0, targetVersion, nil)
		if err != nil {
			return err
		}
		targets = append(targets, s)
	}
	o := &order{target: targetVersion, bad: drawn.Defect, at: f.recorder.Now(), deadline: f.recorder.Now() + drawn.Duration}
	f.mutex.Lock()
	f.orders = append(f.orders, o)
	f.mutex.Unlock()
	f.store.OrderRollout(ledger, targetVersion, drawn.Duration)
	if drawn.Replaced {
		_ = clock.Sleep(ctx, drawn.Duration/3)
		f.mutex.Lock()
		o.replacedAt = f.recorder.Now()
		f.mutex.Unlock()
		f.store.OrderRollout(ledger, usualVersion, drawn.Duration)
		return nil
	}
	return f.follow(ctx, o, targets)
}

// targetVersion is the one that a roll-out moves to.
const targetVersion = "v2"

// endSlack is how long after its deadline the end of a roll-out is still waited for.
const endSlack = 2 * time.Second

// follow waits for the end of a roll-out: the old servers stop at once, or the new ones drain.
func (f *fleet) follow(ctx context.Context, o *order, targets []*server) error {
	for clock.Sleep(ctx, statusGap) == nil && f.recorder.Now() < o.deadline+endSlack {
		status, err := f.store.ReadRolloutStatus(ledger)
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
				if s.Service == ledger && s.Version != targetVersion {
					f.end(s)
				}
			}
			return nil
		}
		_ = clock.Sleep(ctx, reshardTail)
		for _, s := range targets {
			if !f.hasEnded(s) {
				f.drain(s)
			}
		}
		return nil
	}
	return nil
}

// defectOf is how servers of a version behave that is bad; later is when it shows in one
// that turns bad.
func defectOf(bad Defect, later time.Time) standin.Defect {
	switch bad {
	case FailsAlways:
		return standin.Defect{FailEvery: 1}
	case FailsOneInThree:
		return standin.Defect{FailEvery: 3}
	case RespondsSlowly:
		return standin.Defect{Slow: 6}
	case FailsLater:
		return standin.Defect{FailEvery: 2, StartsAt: later}
	case FailsOnRoute:
		return standin.Defect{FailEvery: 2, PathPrefix: enterPath}
	case FailsUnderLoad:
		return standin.Defect{FailEvery: 1, MinConcurrency: 2}
	default:
		return standin.Defect{}
	}
}
