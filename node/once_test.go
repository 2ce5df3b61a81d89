package node_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/settings"
)

func TestNotRepeatableRequestRunsOnce(t *testing.T) {
	inWorld(t, 2, nil, func(t *testing.T, w *world) {
		first := w.query(t.Context(), "return-1", false, "orders")
		second := w.query(t.Context(), "return-1", false, "orders")
		if !slices.Equal(sortedBodies(first.answer), sortedBodies(second.answer)) || second.answer.Snapshot != 1 {
			t.Errorf("first %+v, second %+v", first, second)
		}
		if len(second.answer.Warnings) != 1 {
			t.Errorf("warnings %q", second.answer.Warnings)
		}
		other := w.query(t.Context(), "return-1", false, "other orders")
		if other.status != http.StatusConflict || other.problem.Field != "request_id" {
			t.Errorf("other content got %+v", other)
		}
		if count := w.executions("return-1"); count != 2 {
			t.Errorf("%d executions on 2 servers", count)
		}
	})
}

func TestRepetitionsInProgressJoin(t *testing.T) {
	inWorld(t, 1, nil, func(t *testing.T, w *world) {
		w.straggle(0, time.Second)
		results := []<-chan response{
			w.start(t.Context(), "return-1", false),
			w.start(t.Context(), "return-1", false),
			w.start(t.Context(), "return-1", false),
		}
		for _, result := range results {
			if got := <-result; got.status != http.StatusOK || !got.answer.Complete {
				t.Errorf("got %+v", got)
			}
		}
		if count := w.executions("return-1"); count != 1 {
			t.Errorf("%d executions", count)
		}
	})
}

func TestRepetitionIsAnsweredByItsOwnDeadline(t *testing.T) {
	inWorld(t, 1, nil, func(t *testing.T, w *world) {
		w.straggle(0, time.Second)
		first := w.start(t.Context(), "return-1", false)
		got, took := w.queryOnce(t.Context(), "return-1", 200*time.Millisecond)
		if got.problem.Execution != "unknown" || took > 250*time.Millisecond {
			t.Errorf("after %v got %+v", took, got)
		}
		if got := <-first; got.status != http.StatusOK {
			t.Errorf("the first one got %+v", got)
		}
	})
}

func TestRepetitionOverTheBoundIsNotToldNotRun(t *testing.T) {
	bound := func(chosen *settings.Settings) { chosen.Caller.Queries = 1 }
	inWorld(t, 1, bound, func(t *testing.T, w *world) {
		w.straggle(0, time.Second)
		first := w.start(t.Context(), "return-1", false)
		if got := w.query(t.Context(), "return-1", false, "orders"); got.problem.Execution != "unknown" {
			t.Errorf("while it runs: %+v", got)
		}
		<-first
		holder := w.start(t.Context(), "other", true)
		if got := w.query(t.Context(), "return-1", false, "orders"); got.problem.Execution != "unknown" {
			t.Errorf("after it ran: %+v", got)
		}
		<-holder
	})
}

func TestRepetitionAfterAChangeIsNotToldNotRun(t *testing.T) {
	changes := map[string]func(*policy.Config){
		"service removed":  func(config *policy.Config) { config.Services = []policy.Service{} },
		"class renamed":    func(config *policy.Config) { config.Classes[0].Name = "other" },
		"shorter deadline": func(config *policy.Config) { config.Classes[0].LongestWait, config.Classes[0].Deadline = 10, 10 },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 1, nil, func(t *testing.T, w *world) {
				if got, _ := w.queryOnce(t.Context(), "return-1", time.Second); got.status != http.StatusOK {
					t.Errorf("first: %+v", got)
				}
				config := w.configuration(1)
				change(&config)
				w.putConfiguration(2, config)
				time.Sleep(settle)
				if got, _ := w.queryOnce(t.Context(), "return-1", time.Second); got.status != http.StatusOK && got.problem.Execution != "unknown" {
					t.Errorf("again: %+v", got)
				}
			})
		})
	}
}

func TestClaimEndsByTheDeadline(t *testing.T) {
	inWorld(t, 1, nil, func(t *testing.T, w *world) {
		w.machines.Upsert(machinelist.Machine{
			ID: "node-2", Address: "10.0.0.9:7103", Zone: "zone-a",
			Role: machinelist.RoleNode, State: machinelist.StateLive, Incarnation: "1",
		})
		w.network.Cut(nodeIP, "10.0.0.9")
		time.Sleep(settle)
		got, took := w.queryOnce(t.Context(), "return-1", 50*time.Millisecond)
		if got.problem.Execution != "not_run" || took > 100*time.Millisecond {
			t.Errorf("after %v got %+v", took, got)
		}
	})
}

func TestWindowOfRequestIDsEnds(t *testing.T) {
	shorten := func(chosen *settings.Settings) { chosen.AtMostOnce.Window = 30 * time.Second }
	inWorld(t, 1, shorten, func(t *testing.T, w *world) {
		w.query(t.Context(), "return-1", false, "orders")
		time.Sleep(29 * time.Second)
		w.query(t.Context(), "return-1", false, "orders")
		if count := w.executions("return-1"); count != 1 {
			t.Errorf("%d executions within the window", count)
		}
		time.Sleep(2 * time.Second)
		w.query(t.Context(), "return-1", false, "orders")
		if count := w.executions("return-1"); count != 2 {
			t.Errorf("%d executions after the window", count)
		}
	})
}

func TestUnknownFateOfNotRepeatableRequestIsLogged(t *testing.T) {
	inWorld(t, 1, nil, func(t *testing.T, w *world) {
		w.servers[0].SetFaults(emulator.ServerFaults{CloseAfterShare: 1})
		got := w.query(t.Context(), "return-1", false, "secret orders")
		if got.problem.Execution != "unknown" {
			t.Errorf("got %+v", got)
		}
		if log := w.log.String(); !strings.Contains(log, `"level":"warn","request_id":"return-1"`) || strings.Contains(log, "secret") {
			t.Errorf("log:\n%s", log)
		}
		w.servers[0].SetFaults(emulator.ServerFaults{})
		if again := w.query(t.Context(), "return-1", false, "secret orders"); again.problem.Execution != "unknown" || w.executions("return-1") != 1 {
			t.Errorf("asked again: %+v, %d executions", again, w.executions("return-1"))
		}
	})
}

func TestForgottenResultIsNotRunAgain(t *testing.T) {
	keepNone := func(chosen *settings.Settings) { chosen.AtMostOnce.ResultBytes = 0 }
	inWorld(t, 1, keepNone, func(t *testing.T, w *world) {
		w.query(t.Context(), "return-1", false, "orders")
		got := w.query(t.Context(), "return-1", false, "orders")
		if got.status != http.StatusConflict || got.problem.Reason != "result_forgotten" || got.problem.Execution != "unknown" {
			t.Errorf("asked again: %+v", got)
		}
		if count := w.executions("return-1"); count != 1 {
			t.Errorf("%d executions", count)
		}
	})
}

func TestRequestThatRanNowhereMayComeAgain(t *testing.T) {
	inWorld(t, 1, nil, func(t *testing.T, w *world) {
		faults := w.servers[0].Faults()
		faults.ShedShare = 1
		w.servers[0].SetFaults(faults)
		first := w.query(t.Context(), "return-1", false, "orders")
		if first.problem.Execution != "not_run" {
			t.Errorf("shed by the only server: %+v", first)
		}
		faults.ShedShare = 0
		w.servers[0].SetFaults(faults)
		time.Sleep(time.Second)
		if second := w.query(t.Context(), "return-1", false, "orders"); second.status != http.StatusOK {
			t.Errorf("second try: %+v", second)
		}
		if count := w.executions("return-1"); count != 1 {
			t.Errorf("%d executions", count)
		}
	})
}
