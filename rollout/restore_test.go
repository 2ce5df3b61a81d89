package rollout

import (
	"testing"
	"time"
)

const testGrace = 5 * time.Second

// restoredInput is the input of a decider that started at 0 on a registry that was restored from a backup
// with a record in the given phase.
func restoredInput(phase Phase, versions ...string) DeciderInput {
	input := orderInput()
	input.OrderTimeKnown = false
	input.Versions = versions
	input.Epoch, input.RecordRevision, input.History.Grace = 2, 9, testGrace
	input.Record = &Record{Order: 7, Epoch: 1, Target: "v2", Phase: phase, Before: []string{"v1"}, Elapsed: 14 * time.Second, DecisionAt: 14 * time.Second, MoveAt: 14 * time.Second}
	return input
}

// decideFor observes an input each 100 ms up to the given time and returns the first write and its time.
func decideFor(d *Decider, input DeciderInput, until time.Duration) (first Write, at time.Duration, ok bool) {
	for now := time.Duration(0); now <= until; now += 100 * time.Millisecond {
		d.Observe(now, input)
		if write, due := d.Tick(now); due {
			return write, now, true
		}
	}
	return Write{}, 0, false
}

// Guards against a roll-back to a version without servers: a decider that finds an order in a backup, past
// its deadline, must not take it for one that nobody decided. Once the entries of servers that are gone
// have expired, the servers that are left show how the order ended.
func TestOrderFromBackupEndsByItsServers(t *testing.T) {
	for name, test := range map[string]struct {
		phase    Phase
		versions []string
		want     Phase
	}{
		"moving, only the target is left":           {Moving, []string{"v2"}, Completed},
		"running, only the target is left":          {Running, []string{"v2"}, Completed},
		"moving, only the previous version is left": {Moving, []string{"v1"}, RolledBack},
		"running, both are left":                    {Running, []string{"v1", "v2"}, RolledBack},
		"moving, none is left":                      {Moving, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			write, at, _ := decideFor(NewDecider("x", testBounds), restoredInput(test.phase, test.versions...), time.Minute)
			if write.Record.Phase != test.want || write.Record.Phase != "" && at < testGrace {
				t.Errorf("%q (%s) after %s, want %q", write.Record.Phase, write.Record.Reason, at, test.want)
			}
		})
	}
}

// A decider that followed the registry through the restore knows how far the order had come. It must not
// wait, as the deadline may be near.
func TestDeciderThatSawTheRestoreDoesNotWait(t *testing.T) {
	input := restoredInput(Running, "v1", "v2")
	input.History.SawRestore = true
	if write, at, ok := decideFor(NewDecider("x", testBounds), input, testGrace); !ok || at > 0 || write.Record.Phase != RolledBack {
		t.Errorf("%+v after %s, ok %t", write.Record, at, ok)
	}
}

// An order that was written again after the restore, and whose record the backup lacks, may have ended as
// well. Its record is begun at once, but the order is not left to its deadline if only the target is left.
func TestOrderWithoutRecordInBackup(t *testing.T) {
	d := NewDecider("x", testBounds)
	input := orderInput()
	input.History.Grace = testGrace
	input.Versions = []string{"v1", "v2"} // v1 is listed until its entries expire
	begin, at, ok := decideFor(d, input, time.Second)
	if !ok || at > 0 || begin.Record.Phase != Running {
		t.Fatalf("%+v after %s, ok %t", begin.Record, at, ok)
	}
	d.WriteAccepted(0, begin, 10)
	input.Record, input.RecordRevision, input.Versions = &begin.Record, 10, []string{"v2"}
	if end, at, ok := decideFor(d, input, 10*time.Second); !ok || end.Record.Phase != Completed || at < testGrace {
		t.Errorf("%+v after %s, ok %t", end.Record, at, ok)
	}
}

// A decider that was suspended must not decide by what it knew before.
func TestSuspendedDeciderWaitsForItsView(t *testing.T) {
	d := NewDecider("x", testBounds)
	input := orderInput()
	input.Record, input.RecordRevision = &Record{Order: 7, Target: "v2", Phase: Moving, Before: []string{"v1"}, MoveAt: 15 * time.Second}, 9
	d.Observe(15*time.Second, input)
	input.History.ViewOutdated = true
	d.Observe(25*time.Second, input)
	if write, ok := d.Tick(25 * time.Second); ok {
		t.Errorf("wrote %+v by an outdated view", write.Record)
	}
	input.History.ViewOutdated = false
	d.Observe(26*time.Second, input)
	if _, ok := d.Tick(26 * time.Second); !ok {
		t.Error("nothing was written by the view after the suspension")
	}
}

// The only version that a service has left must not be blocked for good, whatever its record says. One
// whose other versions have crashed stays blocked for as long as they may come back.
func TestOnlyVersionIsNotBlockedForGood(t *testing.T) {
	for name, state := range map[string]State{"rolled back": stateInPhase(RolledBack), "previous of a completed one": stateInPhase(Completed)} {
		blocked := map[Phase]string{RolledBack: "v2", Completed: "v1"}[state.Record.Phase]
		canary := NewCanary(testBounds, 0)
		canary.Update(state, time.Hour)
		mode := func(now time.Duration, versions ...string) TrafficMode {
			canary.SetVersions(now, versions)
			return canary.TrafficMode(now, blocked)
		}
		if got := mode(0, "v1", "v2"); got != Blocked {
			t.Errorf("%s: mode %d beside another version", name, got)
		}
		if got := mode(time.Second, blocked); got != Blocked {
			t.Errorf("%s: mode %d as soon as it is the only one", name, got)
		}
		if got := mode(4*time.Second, "v1", "v2"); got != Blocked {
			t.Errorf("%s: mode %d with the other version back", name, got)
		}
		mode(5*time.Second, blocked)
		if got := mode(5*time.Second+soleVersionGrace, blocked); got != Unrestricted {
			t.Errorf("%s: mode %d of the only version left", name, got)
		}
		if got := mode(time.Minute, "v1", "v2"); got != Blocked {
			t.Errorf("%s: mode %d once the other version is there again", name, got)
		}
	}
	active := NewCanary(testBounds, 0)
	active.Update(stateInPhase(Running), time.Hour)
	active.Halt(7)
	active.SetVersions(0, []string{"v2"})
	if got := active.TrafficMode(time.Minute, "v2"); got != Blocked {
		t.Errorf("mode %d of a halted target while its order runs", got)
	}
}
