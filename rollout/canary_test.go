package rollout

import (
	"fmt"
	"testing"
	"time"
)

var testBounds = Bounds{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second}

// stateInPhase is a node's state in the given phase, for an order of 20 s that was given at 0.
func stateInPhase(phase Phase) State {
	return State{
		Order: 7, Target: "v2", OrderTimeKnown: true, Granted: 10,
		Record: &Record{
			Order: 7, Target: "v2", Phase: phase, Excluded: []string{"v0"}, Before: []string{"v1"},
			DecisionAt: 14 * time.Second, Grants: map[string]int{"node": 10},
		},
	}
}

// The traffic mode of each version, in every phase of an order and while the record belongs to an
// earlier order.
func TestTrafficModes(t *testing.T) {
	superseded := stateInPhase(Moving)
	superseded.Order, superseded.Target, superseded.Granted = 9, "v3", 0
	withdrawn := stateInPhase(Moving)
	withdrawn.Order = 0
	next := stateInPhase(Completed)
	next.Order, next.Target, next.Granted = 9, "v1", 0
	for name, test := range map[string]struct {
		state State
		want  map[string]TrafficMode
	}{
		"nothing":       {State{}, map[string]TrafficMode{"v1": Unrestricted, "v2": Unrestricted}},
		"order alone":   {State{Order: 7, Target: "v2"}, map[string]TrafficMode{"v1": Unrestricted, "v2": Blocked}},
		"running":       {stateInPhase(Running), map[string]TrafficMode{"v0": Blocked, "v1": Unrestricted, "v2": Limited, "v9": Unrestricted}},
		"moving":        {stateInPhase(Moving), map[string]TrafficMode{"v0": Blocked, "v1": Blocked, "v2": Unrestricted, "v9": Unrestricted}},
		"completed":     {stateInPhase(Completed), map[string]TrafficMode{"v0": Blocked, "v1": Blocked, "v2": Unrestricted, "v9": Unrestricted}},
		"rolled back":   {stateInPhase(RolledBack), map[string]TrafficMode{"v0": Blocked, "v1": Unrestricted, "v2": Blocked}},
		"superseded":    {superseded, map[string]TrafficMode{"v1": Unrestricted, "v2": Blocked, "v3": Blocked}},
		"taken back":    {withdrawn, map[string]TrafficMode{"v1": Unrestricted, "v2": Blocked}},
		"next, back v1": {next, map[string]TrafficMode{"v1": Blocked, "v2": Unrestricted}},
	} {
		canary := NewCanary(testBounds, 0)
		canary.Update(test.state, time.Hour)
		for version, want := range test.want {
			if got := canary.TrafficMode(10*time.Second, version); got != want {
				t.Errorf("%s: traffic mode of %s is %d, want %d", name, version, got, want)
			}
		}
	}
}

// An order for the only version must not block it before a record says that there is nothing to move.
func TestOrderForTheOnlyVersion(t *testing.T) {
	for _, test := range []struct {
		versions []string
		want     TrafficMode
	}{{[]string{"v2"}, Unrestricted}, {[]string{"v1", "v2"}, Blocked}, {nil, Blocked}} {
		canary := NewCanary(testBounds, 0)
		canary.SetVersions(0, test.versions)
		canary.Update(State{Order: 7, Target: "v2"}, time.Hour)
		if got := canary.TrafficMode(time.Second, "v2"); got != test.want {
			t.Errorf("versions %v: traffic mode of the target is %d, want %d", test.versions, got, test.want)
		}
	}
}

// offerSends offers a first send on a route every 10 ms and counts those that go to the target.
func offerSends(canary *Canary, from, to time.Duration, route string) (sent, offered int) {
	for now := from; now < to; now += 10 * time.Millisecond {
		due := canary.ShouldSendToTarget(now, route)
		canary.CountFirstSend(route, due)
		canary.CountRequest()
		offered++
		if due {
			canary.CountTargetSend()
			sent++
		}
	}
	return sent, offered
}

// The target must never exceed its limit. Some of it must be used at once, a third before the load
// test, and the rest in the load test.
func TestExposureIsSpreadAndBounded(t *testing.T) {
	canary := NewCanary(testBounds, 0)
	canary.Update(stateInPhase(Running), time.Hour)
	early, offered := offerSends(canary, 0, time.Second, "a")
	if early == 0 {
		t.Error("nothing was sent to the target in the first second")
	}
	more, count := offerSends(canary, time.Second, 12*time.Second, "a")
	early, offered = early+more, offered+count
	limit := 0.085*float64(offered) + 10
	if float64(early) < 0.3*limit || float64(early) > earlyShare*limit+1 {
		t.Errorf("%d requests of a limit of %.1f went to the target before the load test", early, limit)
	}
	late, count := offerSends(canary, 12*time.Second, 14*time.Second, "a")
	limit = 0.085*float64(offered+count) + 10
	if sent := early + late; float64(sent) > limit || float64(sent) < limit-2 {
		t.Errorf("%d requests of a limit of %.1f went to the target", sent, limit)
	}
}

// A node must send nothing to the target if its view of the registry is too old, after Halt, and while
// there is no order or no record.
func TestNoTargetSendsWithoutFreshView(t *testing.T) {
	for name, spoil := range map[string]func(canary *Canary){
		"stale":    func(canary *Canary) { canary.Update(stateInPhase(Running), 3*time.Second) },
		"halted":   func(canary *Canary) { canary.Halt(7) },
		"no order": func(canary *Canary) { canary.Update(State{}, time.Hour) },
		"no record": func(canary *Canary) {
			canary.Update(State{Order: 7, Target: "v2", OrderTimeKnown: true, Granted: 10}, time.Hour)
		},
	} {
		canary := NewCanary(testBounds, 0)
		canary.Update(stateInPhase(Running), time.Hour)
		spoil(canary)
		if sent, _ := offerSends(canary, 4*time.Second, 6*time.Second, "a"); sent != 0 {
			t.Errorf("%s: %d requests went to the target", name, sent)
		}
	}
	canary := NewCanary(testBounds, 0)
	canary.Update(stateInPhase(Running), time.Hour)
	canary.Halt(6) // Halt for an earlier order
	if sent, _ := offerSends(canary, 4*time.Second, 6*time.Second, "a"); sent == 0 {
		t.Error("Halt for an earlier order stopped this one")
	}
}

// A process that is younger than a grant may follow one that used it, so the grant must not apply to
// it, nor to one that does not know the order's age.
func TestGrantsRequireOlderProcess(t *testing.T) {
	state := stateInPhase(Running)
	for _, test := range []struct {
		now, running time.Duration
		known        bool
		want         int
	}{
		{4 * time.Second, 20 * time.Second, true, 10},
		{4 * time.Second, 8 * time.Second, true, 10},
		{4 * time.Second, 5 * time.Second, true, 0},
		{4 * time.Second, time.Second, true, 0},
		{4 * time.Second, 8 * time.Second, false, 0},
	} {
		state.OrderTimeKnown = test.known
		if got := state.GrantFor(test.now, "node", test.running); got != test.want {
			t.Errorf("%+v: %d requests granted", test, got)
		}
	}
	state.OrderTimeKnown = true
	if got := state.GrantFor(4*time.Second, "another", time.Hour); got != 0 {
		t.Errorf("a node without a grant may send %d requests", got)
	}
}

// A route with few requests must get about as many sends to the target as one with many.
func TestRareRoutesGetTargetSends(t *testing.T) {
	canary := NewCanary(testBounds, 0)
	canary.Update(stateInPhase(Running), time.Hour)
	sent := make(map[string]int)
	for now, number := time.Duration(0), 0; now < 12*time.Second; now, number = now+5*time.Millisecond, number+1 {
		route := "busy"
		if number%20 == 0 {
			route = "rare"
		}
		due := canary.ShouldSendToTarget(now, route)
		canary.CountFirstSend(route, due)
		canary.CountRequest()
		if due {
			canary.CountTargetSend()
			sent[route]++
		}
	}
	if sent["rare"] < sent["busy"]*2/3 {
		t.Errorf("sends to the target by route: %v", sent)
	}
}

// The upper bound of an order's age, with and without a known order time, record and alarm. It must
// not start over when nodes restart: nodes that share grants must stay within the bound however they
// come, go and restart.
func TestOrderAge(t *testing.T) {
	known := stateInPhase(Running)
	known.Since = -2 * time.Second
	unknown := stateInPhase(Running)
	unknown.OrderTimeKnown, unknown.RecordSeenAt = false, time.Second
	unknown.Record.Elapsed = 3 * time.Second
	alarmed := unknown
	record := *unknown.Record
	record.HasAlarm = true
	alarmed.Record, alarmed.AlarmHeld, alarmed.AlarmSeenAt = &record, true, 40*time.Second
	expired := alarmed
	expired.AlarmHeld = false
	neverSeen := expired
	neverSeen.AlarmSeenAt = 0
	for name, test := range map[string]struct {
		state State
		now   time.Duration
		want  time.Duration
	}{
		"known":                   {known, 5 * time.Second, 7 * time.Second},
		"told by the record":      {unknown, 5 * time.Second, 12 * time.Second},
		"before the alarm":        {alarmed, 5 * time.Second, 7 * time.Second},
		"long before the alarm":   {alarmed, 41 * time.Second, 12 * time.Second},
		"once the alarm is taken": {expired, 42 * time.Second, 16 * time.Second},
		"an alarm that was taken": {neverSeen, 2 * time.Second, 20 * time.Second},
	} {
		if got := test.state.Age(test.now); got != test.want {
			t.Errorf("%s: %s, want %s", name, got, test.want)
		}
	}
}

// All nodes must load the same servers, one after the other.
func TestLoadTestVisitsServersInTurn(t *testing.T) {
	canary := NewCanary(testBounds, 0)
	canary.Update(stateInPhase(Running), time.Hour)
	if _, underLoad := canary.LoadTestServer(5 * time.Second); underLoad {
		t.Error("the load test started too early")
	}
	var indexes []string
	for now := 12 * time.Second; canary.ShouldSendToTarget(now, "a"); now += time.Millisecond {
		index, underLoad := canary.LoadTestServer(now)
		if !underLoad {
			t.Fatal("the load test did not start in time")
		}
		if text := fmt.Sprint(index); len(indexes) == 0 || indexes[len(indexes)-1] != text {
			indexes = append(indexes, text)
		}
		canary.CountTargetSend()
	}
	if want := fmt.Sprint([]string{"7", "8"}); fmt.Sprint(indexes) != want {
		t.Errorf("server indexes %v, want %s", indexes, want)
	}
}
