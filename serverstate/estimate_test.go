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
		t.Errorf("of a server of which nothing is known: %g", got)
	}
	for range 10 {
		e.ObserveSlowness(tick, 6)
	}
	before := e.Slowness(tick, &starts)
	if before < 5 || before > 6 {
		t.Errorf("after ten answers of 6: %g", before)
	}
	after := e.Slowness(tick+time.Second, &starts)
	if want := serverstate.NormalSlowness + (before-serverstate.NormalSlowness)/2; math.Abs(after-want) > 0.01 {
		t.Errorf("a second later: %g, want half of the distance, %g", after, want)
	}
	e.ObserveSlowness(tick, 1000)
	if got := e.Slowness(tick, &starts); got > serverstate.MaxSlowness {
		t.Errorf("after one very long answer: %g", got)
	}
}

func TestProbePauseGrowsWhileServerIsSlow(t *testing.T) {
	var e serverstate.Estimate
	now := time.Duration(0)
	last := time.Duration(0)
	for range 6 {
		e.ObserveSlowness(now, serverstate.MaxSlowness)
		if e.ProbeDue(now) {
			t.Fatal("a slow server may be probed at once")
		}
		asked := now
		for !e.ProbeDue(now) {
			now += 10 * time.Millisecond
		}
		if pause := now - asked; pause < last || pause > 2*time.Second {
			t.Errorf("probed after %s, after %s before", pause, last)
		}
		last = now - asked
		e.RecordProbe(now)
		if e.ProbeDue(now) {
			t.Error("probed twice at once")
		}
	}
	for range 12 {
		e.ObserveSlowness(now, serverstate.NormalSlowness)
	}
	if e.ProbeDue(now + time.Minute) {
		t.Error("a server that is well is probed")
	}
}

func TestServersThatShedAreNotProbed(t *testing.T) {
	var e serverstate.Estimate
	e.ObserveSlowness(0, serverstate.MaxSlowness)
	e.SetShedUntil(5 * time.Second)
	if e.ProbeDue(4*time.Second) || !e.ProbeDue(5*time.Second) || e.ShedUntil() != 5*time.Second {
		t.Error("the server is not left alone until its time is over")
	}
}

func TestOverdueAttemptsShowSlowness(t *testing.T) {
	var e serverstate.Estimate
	var known, unknown serverstate.PendingAttempt
	e.BeginAttempt(&known, 0, 10*time.Millisecond)
	e.BeginAttempt(&unknown, 0, 0)
	if e.OverdueSlowness(20*time.Millisecond) != 0 || known.IsLate(20*time.Millisecond) {
		t.Error("twice the usual time is late")
	}
	if got := e.OverdueSlowness(50 * time.Millisecond); got != 5 || !known.IsLate(50*time.Millisecond) || unknown.IsLate(time.Hour) {
		t.Errorf("after five times the usual: %g", got)
	}
	if got := e.OverdueSlowness(time.Hour); got != serverstate.MaxSlowness {
		t.Errorf("after an hour: %g", got)
	}
	e.EndAttempt(&known)
	e.EndAttempt(&known) // a second end changes nothing
	if e.OverdueSlowness(time.Hour) != 0 || e.InFlight() != 1 {
		t.Errorf("after its end: %g, %d in flight", e.OverdueSlowness(time.Hour), e.InFlight())
	}
}

func TestUtilizationCountsOwnAttemptsAndReportedLoad(t *testing.T) {
	var e serverstate.Estimate
	e.BeginAttempt(new(serverstate.PendingAttempt), 0, 0)
	if got := e.Utilization(0, 2); got != 0.5 {
		t.Errorf("one attempt at two slots: %g", got)
	}
	e.ObserveLoad(0, 2, 3)
	if got := e.Utilization(0, 2); got != 1.5 { // four of others count half
		t.Errorf("with four requests of others: %g", got)
	}
	if got := e.Utilization(time.Second, 2); math.Abs(got-0.5) > 0.001 {
		t.Errorf("a second later: %g", got)
	}
	if got := e.Utilization(time.Second, 0); math.Abs(got-1) > 0.001 {
		t.Errorf("of a server that tells no slots: %g", got)
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
		t.Errorf("of a cold server: %g", got)
	}
	if got := e.Slowness(3*time.Second, &starts); got != serverstate.NormalSlowness || e.Cold(3*time.Second) {
		t.Errorf("of one that is cold no more: %g", got)
	}
	e.ObserveSlowness(time.Second, 1.5)
	if got := e.Slowness(time.Second, &starts); got != 1.5 {
		t.Errorf("of a cold one that has answered: %g", got)
	}
}
