package serverstate_test

import (
	"math"
	"testing"
	"time"

	"github.com/banksail/banksail/serverstate"
)

const tick = 100 * time.Millisecond

func TestSlownessFollowsAnswersAndDecays(t *testing.T) {
	var s serverstate.Estimate
	var starts serverstate.ColdStarts
	if got := s.Slowness(0, &starts); got != serverstate.NormalSlowness {
		t.Errorf("of a server of which nothing is known: %g", got)
	}
	for range 10 {
		s.ObserveSlowness(tick, 6)
	}
	before := s.Slowness(tick, &starts)
	if before < 5 || before > 6 {
		t.Errorf("after ten answers of 6: %g", before)
	}
	after := s.Slowness(tick+time.Second, &starts)
	if want := serverstate.NormalSlowness + (before-serverstate.NormalSlowness)/2; math.Abs(after-want) > 0.01 {
		t.Errorf("a second later: %g, want half of the distance, %g", after, want)
	}
	s.ObserveSlowness(tick, 1000)
	if got := s.Slowness(tick, &starts); got > serverstate.MaxSlowness {
		t.Errorf("after one very long answer: %g", got)
	}
}

func TestProbePauseGrowsWhileServerIsSlow(t *testing.T) {
	var s serverstate.Estimate
	now := time.Duration(0)
	last := time.Duration(0)
	for range 6 {
		s.ObserveSlowness(now, serverstate.MaxSlowness)
		if s.ProbeDue(now) {
			t.Fatal("a slow server may be probed at once")
		}
		asked := now
		for !s.ProbeDue(now) {
			now += 10 * time.Millisecond
		}
		if pause := now - asked; pause < last || pause > 2*time.Second {
			t.Errorf("probed after %s, after %s before", pause, last)
		}
		last = now - asked
		s.RecordProbe(now)
		if s.ProbeDue(now) {
			t.Error("probed twice at once")
		}
	}
	for range 12 {
		s.ObserveSlowness(now, serverstate.NormalSlowness)
	}
	if s.ProbeDue(now + time.Minute) {
		t.Error("a server that is well is probed")
	}
}

func TestServersThatShedAreNotProbed(t *testing.T) {
	var s serverstate.Estimate
	s.ObserveSlowness(0, serverstate.MaxSlowness)
	s.SetShedUntil(5 * time.Second)
	if s.ProbeDue(4*time.Second) || !s.ProbeDue(5*time.Second) || s.ShedUntil() != 5*time.Second {
		t.Error("the server is not left alone until its time is over")
	}
}

func TestOverdueAttemptsShowSlowness(t *testing.T) {
	var s serverstate.Estimate
	var known, unknown serverstate.PendingAttempt
	s.BeginAttempt(&known, 0, 10*time.Millisecond)
	s.BeginAttempt(&unknown, 0, 0)
	if s.OverdueSlowness(20*time.Millisecond) != 0 || known.IsLate(20*time.Millisecond) {
		t.Error("twice the usual time is late")
	}
	if got := s.OverdueSlowness(50 * time.Millisecond); got != 5 || !known.IsLate(50*time.Millisecond) || unknown.IsLate(time.Hour) {
		t.Errorf("after five times the usual: %g", got)
	}
	if got := s.OverdueSlowness(time.Hour); got != serverstate.MaxSlowness {
		t.Errorf("after an hour: %g", got)
	}
	s.EndAttempt(&known)
	s.EndAttempt(&known) // a second end changes nothing
	if s.OverdueSlowness(time.Hour) != 0 || s.InFlight() != 1 {
		t.Errorf("after its end: %g, %d in flight", s.OverdueSlowness(time.Hour), s.InFlight())
	}
}

func TestUtilizationCountsOwnAttemptsAndReportedLoad(t *testing.T) {
	var s serverstate.Estimate
	s.BeginAttempt(new(serverstate.PendingAttempt), 0, 0)
	if got := s.Utilization(0, 2); got != 0.5 {
		t.Errorf("one attempt at two slots: %g", got)
	}
	s.ObserveLoad(0, 2, 3)
	if got := s.Utilization(0, 2); got != 1.5 { // four of others count half
		t.Errorf("with four requests of others: %g", got)
	}
	if got := s.Utilization(time.Second, 2); math.Abs(got-0.5) > 0.001 {
		t.Errorf("a second later: %g", got)
	}
	if got := s.Utilization(time.Second, 0); math.Abs(got-1) > 0.001 {
		t.Errorf("of a server that tells no slots: %g", got)
	}
}

func TestColdStartsPredictSlownessOfNext(t *testing.T) {
	var s serverstate.Estimate
	var starts serverstate.ColdStarts
	s.SetColdUntil(3 * time.Second)
	for range 60 {
		starts.Observe(3)
	}
	if got := s.Slowness(time.Second, &starts); got < 2.9 || got > 3 {
		t.Errorf("of a cold server: %g", got)
	}
	if got := s.Slowness(3*time.Second, &starts); got != serverstate.NormalSlowness || s.Cold(3*time.Second) {
		t.Errorf("of one that is cold no more: %g", got)
	}
	s.ObserveSlowness(time.Second, 1.5)
	if got := s.Slowness(time.Second, &starts); got != 1.5 {
		t.Errorf("of a cold one that has answered: %g", got)
	}
}
