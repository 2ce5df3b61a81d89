package serverstate_test

import (
	"math"
	"testing"
	"time"

	"github.com/banksail/banksail/serverstate"
)

const tick = 100 * time.Millisecond

func TestSlownessIsLearnedAndFades(t *testing.T) {
	var s serverstate.Belief
	var starts serverstate.Starts
	if got := s.Slowness(0, &starts); got != serverstate.Usual {
		t.Errorf("of a server of which nothing is known: %g", got)
	}
	for range 10 {
		s.Learn(tick, 6)
	}
	before := s.Slowness(tick, &starts)
	if before < 5 || before > 6 {
		t.Errorf("after ten answers of 6: %g", before)
	}
	after := s.Slowness(tick+time.Second, &starts)
	if want := serverstate.Usual + (before-serverstate.Usual)/2; math.Abs(after-want) > 0.01 {
		t.Errorf("a second later: %g, want half of the distance, %g", after, want)
	}
	s.Learn(tick, 1000)
	if got := s.Slowness(tick, &starts); got > serverstate.Most {
		t.Errorf("after one very long answer: %g", got)
	}
}

func TestSlowServersAreProbedEverLessOften(t *testing.T) {
	var s serverstate.Belief
	now := time.Duration(0)
	last := time.Duration(0)
	for range 6 {
		s.Learn(now, serverstate.Most)
		if s.MayProbe(now) {
			t.Fatal("a slow server may be probed at once")
		}
		asked := now
		for !s.MayProbe(now) {
			now += 10 * time.Millisecond
		}
		if pause := now - asked; pause < last || pause > 2*time.Second {
			t.Errorf("probed after %s, after %s before", pause, last)
		}
		last = now - asked
		s.Probed(now)
		if s.MayProbe(now) {
			t.Error("probed twice at once")
		}
	}
	for range 12 {
		s.Learn(now, serverstate.Usual)
	}
	if s.MayProbe(now + time.Minute) {
		t.Error("a server that is well is probed")
	}
}

func TestServersThatShedAreNotProbed(t *testing.T) {
	var s serverstate.Belief
	s.Learn(0, serverstate.Most)
	s.Shed(5 * time.Second)
	if s.MayProbe(4*time.Second) || !s.MayProbe(5*time.Second) || s.ShedUntil() != 5*time.Second {
		t.Error("the server is not left alone until its time is over")
	}
}

func TestLateAttemptsProveSlowness(t *testing.T) {
	var s serverstate.Belief
	var known, unknown serverstate.Flight
	s.Begin(&known, 0, 10*time.Millisecond)
	s.Begin(&unknown, 0, 0)
	if s.Overdue(20*time.Millisecond) != 0 || known.Late(20*time.Millisecond) {
		t.Error("twice the usual time is late")
	}
	if got := s.Overdue(50 * time.Millisecond); got != 5 || !known.Late(50*time.Millisecond) || unknown.Late(time.Hour) {
		t.Errorf("after five times the usual: %g", got)
	}
	if got := s.Overdue(time.Hour); got != serverstate.Most {
		t.Errorf("after an hour: %g", got)
	}
	s.End(&known)
	s.End(&known) // a second end changes nothing
	if s.Overdue(time.Hour) != 0 || s.InFlight() != 1 {
		t.Errorf("after its end: %g, %d in flight", s.Overdue(time.Hour), s.InFlight())
	}
}

func TestWorkCountsOwnAttemptsAndTheReportedLoad(t *testing.T) {
	var s serverstate.Belief
	s.Begin(new(serverstate.Flight), 0, 0)
	if got := s.Work(0, 2); got != 0.5 {
		t.Errorf("one attempt at two slots: %g", got)
	}
	s.TakeLoad(0, 2, 3)
	if got := s.Work(0, 2); got != 1.5 { // four of others count half
		t.Errorf("with four requests of others: %g", got)
	}
	if got := s.Work(time.Second, 2); math.Abs(got-0.5) > 0.001 {
		t.Errorf("a second later: %g", got)
	}
	if got := s.Work(time.Second, 0); math.Abs(got-1) > 0.001 {
		t.Errorf("of a server that tells no slots: %g", got)
	}
}

func TestStartsTellWhatToExpectOfTheNext(t *testing.T) {
	var s serverstate.Belief
	var starts serverstate.Starts
	s.SetCold(3 * time.Second)
	for range 60 {
		starts.Take(3)
	}
	if got := s.Slowness(time.Second, &starts); got < 2.9 || got > 3 {
		t.Errorf("of a cold server: %g", got)
	}
	if got := s.Slowness(3*time.Second, &starts); got != serverstate.Usual || s.Cold(3*time.Second) {
		t.Errorf("of one that is cold no more: %g", got)
	}
	s.Learn(time.Second, 1.5)
	if got := s.Slowness(time.Second, &starts); got != 1.5 {
		t.Errorf("of a cold one that has answered: %g", got)
	}
}
