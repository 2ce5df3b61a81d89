package serverstate_test

import (
	"math"
	"testing"
	"time"

	"github.com/banksail/banksail/serverstate"
)

const tick = 100 * time.Millisecond

func TestSlownessFollowsAnswersAndDecays(t *testing.T) {
	var e serverstate.Estimate
	var starts serverstate.ColdStarts
	if got := e.Slowness(0, &starts); got != serverstate.NormalSlowness {
		t.Errorf("slowness of an unknown server is %g", got)
	}
	for range 10 {
		e.ObserveSlowness(tick, 6)
	}
	before := e.Slowness(tick, &starts)
	if before < 5 || before > 6 {
		t.Errorf("slowness after ten answers of 6 is %g", before)
	}
	after := e.Slowness(tick+time.Second, &starts)
	if want := serverstate.NormalSlowness + (before-serverstate.NormalSlowness)/2; math.Abs(after-want) > 0.01 {
		t.Errorf("slowness a second later is %g, want half the distance from normal, %g", after, want)
	}
	e.ObserveSlowness(tick, 1000)
	if got := e.Slowness(tick, &starts); got > serverstate.MaxSlowness {
		t.Errorf("slowness after one very slow answer is %g", got)
	}
}

func TestProbePauseGrowsWhileServerIsSlow(t *testing.T) {
	var e serverstate.Estimate
	now := time.Duration(0)
	last := time.Duration(0)
	for range 6 {
		e.ObserveSlowness(now, serverstate.MaxSlowness)
		if e.ProbeDue(now) {
			t.Fatal("a probe of a slow server is due immediately")
		}
		asked := now
		for !e.ProbeDue(now) {
			now += 10 * time.Millisecond
		}
		if pause := now - asked; pause < last || pause > 2*time.Second {
			t.Errorf("probe due after %s, previously after %s", pause, last)
		}
		last = now - asked
		e.RecordProbe(now)
		if e.ProbeDue(now) {
			t.Error("a second probe is due immediately after the first")
		}
	}
	for range 12 {
		e.ObserveSlowness(now, serverstate.NormalSlowness)
	}
	if e.ProbeDue(now + time.Minute) {
		t.Error("a probe of a healthy server is due")
	}
}

func TestServersThatShedAreNotProbed(t *testing.T) {
	var e serverstate.Estimate
	e.ObserveSlowness(0, serverstate.MaxSlowness)
	e.SetShedUntil(5 * time.Second)
	if e.ProbeDue(4*time.Second) || !e.ProbeDue(5*time.Second) || e.ShedUntil() != 5*time.Second {
		t.Error("probes are due before the end of the shedding period, or not after it")
	}
}

func TestOverdueAttemptsShowSlowness(t *testing.T) {
	var e serverstate.Estimate
	var known, unknown serverstate.PendingAttempt
	e.BeginAttempt(&known, 0, 10*time.Millisecond)
	e.BeginAttempt(&unknown, 0, 0)
	if e.OverdueSlowness(20*time.Millisecond) != 0 || known.IsLate(20*time.Millisecond) {
		t.Error("an attempt is late after twice the typical latency")
	}
	if got := e.OverdueSlowness(50 * time.Millisecond); got != 5 || !known.IsLate(50*time.Millisecond) || unknown.IsLate(time.Hour) {
		t.Errorf("overdue slowness after five times the typical latency is %g", got)
	}
	if got := e.OverdueSlowness(time.Hour); got != serverstate.MaxSlowness {
		t.Errorf("overdue slowness after an hour is %g", got)
	}
	e.EndAttempt(&known)
	e.EndAttempt(&known) // a second call has no effect
	if e.OverdueSlowness(time.Hour) != 0 || e.InFlight() != 1 {
		t.Errorf("after the end: overdue slowness %g, %d attempts in flight", e.OverdueSlowness(time.Hour), e.InFlight())
	}
}

func TestUtilizationCountsOwnAttemptsAndReportedLoad(t *testing.T) {
	var e serverstate.Estimate
	e.BeginAttempt(new(serverstate.PendingAttempt), 0, 0)
	if got := e.Utilization(0, 2); got != 0.5 {
		t.Errorf("utilization with one attempt and two slots is %g", got)
	}
	e.ObserveLoad(0, 2, 3)
	if got := e.Utilization(0, 2); got != 1.5 { // four requests of other nodes count half
		t.Errorf("utilization with four requests of other nodes is %g", got)
	}
	if got := e.Utilization(time.Second, 2); math.Abs(got-0.5) > 0.001 {
		t.Errorf("utilization a second later is %g", got)
	}
	if got := e.Utilization(time.Second, 0); math.Abs(got-1) > 0.001 {
		t.Errorf("utilization of a server that reports no slots is %g", got)
	}
}

func TestColdStartsPredictSlownessOfNext(t *testing.T) {
	var e serverstate.Estimate
	var starts serverstate.ColdStarts
	e.SetColdUntil(3 * time.Second)
	for range 60 {
		starts.Observe(3)
	}
	if got := e.Slowness(time.Second, &starts); got < 2.9 || got > 3 {
		t.Errorf("slowness of a cold server is %g", got)
	}
	if got := e.Slowness(3*time.Second, &starts); got != serverstate.NormalSlowness || e.Cold(3*time.Second) {
		t.Errorf("slowness of a server that is no longer cold is %g", got)
	}
	e.ObserveSlowness(time.Second, 1.5)
	if got := e.Slowness(time.Second, &starts); got != 1.5 {
		t.Errorf("slowness of a cold server that has answered is %g", got)
	}
}
