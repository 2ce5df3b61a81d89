package node_test

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/node"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/settings"
)

func TestQueryThroughWholeNode(t *testing.T) {
	inWorld(t, 8, nil, func(t *testing.T, w *world) {
		got := w.query(t.Context(), "r-1", true, "orders")
		if got.status != http.StatusOK || !got.answer.Complete || got.answer.Coverage != 1 || got.answer.Snapshot != 1 {
			t.Fatalf("got %+v", got)
		}
		if len(got.answer.Parts) != 8 || len(got.answer.Missing) != 0 || w.executions("r-1") != 8 {
			t.Errorf("%d parts, missing %v, %d executions", len(got.answer.Parts), got.answer.Missing, w.executions("r-1"))
		}
		if explanation, found := w.node.Explain("r-1"); !found || len(explanation.Steps) == 0 {
			t.Errorf("explanation %+v", explanation)
		}
		_, metrics := w.get("/metrics")
		if !strings.Contains(metrics, `banksail_queries_total{class="normal",execution="done",reason="complete",service="catalog"} 1`) {
			t.Errorf("metrics:\n%s", metrics)
		}
	})
}

func TestUnknownNamesAreRefusedAndNothingIsSent(t *testing.T) {
	inWorld(t, 1, nil, func(t *testing.T, w *world) {
		w.putConfiguration(2, w.configuration(1))
		post := func(path, class, deadline string) (int, string) {
			document := `{"request_id":"r-1","class":"` + class + `","deadline_ms":` + deadline + `,"repeatable":true,"body":1}`
			reply, err := w.client.Post("http://"+callerAt+path, "application/json", strings.NewReader(document))
			w.check(err)
			defer func() { _ = reply.Body.Close() }()
			text := make([]byte, 4096)
			count, _ := reply.Body.Read(text)
			return reply.StatusCode, string(text[:count])
		}
		tests := []struct {
			path, class, deadline string
			status                int
			field                 string
		}{
			{"/v1/services/nothing/queries", "normal", "10", http.StatusNotFound, "service"},
			{"/v1/services/catalog/queries", "nothing", "10", http.StatusBadRequest, "class"},
			{"/v1/services/catalog/queries", "normal", "20001", http.StatusBadRequest, "deadline_ms"},
		}
		for _, test := range tests {
			status, text := post(test.path, test.class, test.deadline)
			if status != test.status || !strings.Contains(text, `"field":"`+test.field+`"`) || !strings.Contains(text, `"not_run"`) {
				t.Errorf("%+v: HTTP %d %s", test, status, text)
			}
		}
		if count := w.executions("r-1"); count != 0 {
			t.Errorf("%d executions", count)
		}
	})
}

func TestPlannedStopFinishesWhatRuns(t *testing.T) {
	inWorld(t, 2, nil, func(t *testing.T, w *world) {
		w.straggle(1, 10*time.Second)
		running := w.start(t.Context(), "running", true)
		w.stop()
		time.Sleep(delivery)
		if status, text := w.get("/readyz"); status != http.StatusServiceUnavailable || text != "stopping\n" {
			t.Errorf("readyz: %d %q", status, text)
		}
		if status, _ := w.get("/healthz"); status != http.StatusOK {
			t.Errorf("healthz: %d", status)
		}
		refused := w.query(t.Context(), "late", true, "orders")
		if refused.problem.Execution != "not_run" || refused.problem.Reason != "stopping" || !refused.closes {
			t.Errorf("during the stop: %+v", refused)
		}
		if w.executions("late") != 0 {
			t.Error("the refused request ran")
		}
		if got := <-running; got.status != http.StatusOK || !got.answer.Complete || !got.closes {
			t.Errorf("the running request got %+v", got)
		}
		if err := <-w.ended; err != nil {
			t.Errorf("the stop ended with %v", err)
		}
		w.ended <- nil
	})
}

func TestRequestOnConnectionOpenedBeforeTheStopIsAnswered(t *testing.T) {
	inWorld(t, 1, nil, func(t *testing.T, w *world) {
		transport := w.client.Transport.(*http.Transport)
		conn, err := transport.DialContext(t.Context(), "tcp", callerAt)
		w.check(err)
		time.Sleep(delivery)
		w.stop()
		time.Sleep(settings.Default().Stop.Grace + delivery)
		request, err := http.NewRequest(http.MethodPost, "http://"+callerAt+"/v1/services/catalog/queries",
			strings.NewReader(`{"request_id":"r-1","class":"normal","repeatable":true,"body":1}`))
		w.check(err)
		w.check(request.Write(conn))
		reply, err := http.ReadResponse(bufio.NewReader(conn), request)
		if err != nil {
			t.Fatalf("no response: %v", err)
		}
		if reply.StatusCode != http.StatusServiceUnavailable || !reply.Close {
			t.Errorf("HTTP %d, closes %t", reply.StatusCode, reply.Close)
		}
		_ = conn.Close()
	})
}

func TestPlannedStopRefusesWhatIsQueued(t *testing.T) {
	inWorld(t, 1, nil, func(t *testing.T, w *world) {
		w.straggle(0, 5*time.Second)
		var held []<-chan response
		for range 12 {
			held = append(held, w.start(t.Context(), "held", true))
		}
		w.stop()
		finished, refused := 0, 0
		for _, result := range held {
			got := <-result
			switch {
			case got.status == http.StatusOK && got.answer.Complete:
				finished++
			case got.problem.Execution == "not_run" && got.problem.Reason == "stopping":
				refused++
			default:
				t.Errorf("got %+v", got)
			}
		}
		if ran := w.executions("held"); ran < finished {
			t.Errorf("%d finished, but %d ran", finished, ran)
		}
		t.Logf("%d finished, %d refused", finished, refused)
	})
}

func TestAbortEndsAtOnceAndNamesWhatItCuts(t *testing.T) {
	inWorld(t, 1, nil, func(t *testing.T, w *world) {
		w.straggle(0, 10*time.Second)
		cut := w.start(t.Context(), "cut-me", true)
		w.stop()
		time.Sleep(2 * time.Second)
		before := time.Now()
		w.node.Abort()
		err := <-w.ended
		w.ended <- nil
		if !errors.Is(err, node.ErrAborted) || time.Since(before) > 2*time.Second {
			t.Errorf("ended with %v after %v", err, time.Since(before))
		}
		if got := <-cut; got.err == nil && got.problem.Execution == "not_run" {
			t.Errorf("the cut request got %+v", got)
		}
		if !strings.Contains(w.log.String(), `"request_ids":["cut-me"]`) {
			t.Errorf("log:\n%s", w.log)
		}
	})
}

func TestQueryMayLastLongerThanItsReading(t *testing.T) {
	shorten := func(chosen *settings.Settings) { chosen.Caller.ReadTimeout = 2 * time.Second }
	inWorld(t, 1, shorten, func(t *testing.T, w *world) {
		w.straggle(0, 15*time.Second)
		if got := w.query(t.Context(), "r-1", true, "orders"); got.status != http.StatusOK || !got.answer.Complete {
			t.Errorf("got %+v", got)
		}
	})
}

func TestCallerGone(t *testing.T) {
	tests := map[string]struct{ repeatable, completes bool }{
		"repeatable request is cancelled":        {repeatable: true, completes: false},
		"not repeatable request goes to its end": {repeatable: false, completes: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 1, nil, func(t *testing.T, w *world) {
				w.straggle(0, 2*time.Second)
				ctx, leave := context.WithCancel(t.Context())
				gone := w.start(ctx, "r-1", test.repeatable)
				time.Sleep(time.Second)
				leave()
				<-gone
				time.Sleep(3 * time.Second)
				executions := w.servers[0].Executions()
				if len(executions) != 1 || executions[0].Completed != test.completes {
					t.Errorf("executions %+v", executions)
				}
				again := w.query(t.Context(), "r-1", test.repeatable, "orders")
				if again.status != http.StatusOK || !again.answer.Complete {
					t.Errorf("asked again: %+v", again)
				}
			})
		})
	}
}

func TestDrainSeenOnlyInHealth(t *testing.T) {
	inWorld(t, 1, nil, func(t *testing.T, w *world) {
		faults := w.servers[0].Faults()
		faults.HealthState = "draining"
		w.servers[0].SetFaults(faults)
		time.Sleep(3 * time.Second)
		got := w.query(t.Context(), "r-1", true, "orders")
		if got.problem.Execution != "not_run" || w.executions("r-1") != 0 {
			t.Errorf("3 s after the drain: %+v, %d executions", got, w.executions("r-1"))
		}
	})
}

func TestDrainIsSeenBesideManyServersThatHang(t *testing.T) {
	const servers, draining = 100, 99
	inWorld(t, servers, nil, func(t *testing.T, w *world) {
		for index := range draining {
			w.servers[index].SetFaults(emulator.ServerFaults{Freeze: true})
		}
		time.Sleep(10 * time.Second)
		w.servers[draining].SetFaults(emulator.ServerFaults{HealthState: "draining"})
		time.Sleep(3 * time.Second)
		ctx, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		w.query(ctx, "r-1", true, "orders")
		if executions := w.servers[draining].Executions(); len(executions) != 0 {
			t.Errorf("3 s after the drain: %+v", executions)
		}
		for index := range draining {
			w.servers[index].SetFaults(emulator.ServerFaults{})
		}
	})
}

func TestConfigurationChangesWhileRunning(t *testing.T) {
	inWorld(t, 2, nil, func(t *testing.T, w *world) {
		w.straggle(0, 8*time.Second)
		running := w.start(t.Context(), "running", true)
		without := w.configuration(2)
		without.Services = []policy.Service{}
		w.putConfiguration(2, without)
		time.Sleep(2 * time.Second)
		if got := w.query(t.Context(), "late", true, "orders"); got.status != http.StatusNotFound {
			t.Errorf("a removed service answered %+v", got)
		}
		if got := <-running; got.status != http.StatusOK || !got.answer.Complete {
			t.Errorf("in flight while its service was removed: %+v", got)
		}
		w.straggle(0, serviceTime*time.Millisecond)
		w.putConfiguration(3, w.configuration(2))
		time.Sleep(settle)
		if got := w.query(t.Context(), "back", true, "orders"); got.status != http.StatusOK {
			t.Errorf("a service that came back: %+v", got)
		}
		if _, text := w.get("/readyz"); text != "ready at revision 3\n" {
			t.Errorf("readyz: %q", text)
		}
	})
}

func TestNodeWithoutConfigurationRefuses(t *testing.T) {
	inWorld(t, 0, nil, func(t *testing.T, w *world) {
		if status, text := w.get("/readyz"); status != http.StatusServiceUnavailable || text != "no configuration\n" {
			t.Errorf("readyz: %d %q", status, text)
		}
		got := w.query(t.Context(), "r-1", true, "orders")
		if got.status != http.StatusServiceUnavailable || got.problem.Reason != "no_configuration" || got.problem.Execution != "not_run" {
			t.Errorf("got %+v", got)
		}
	})
}

func TestQueriesOverTheBoundAreRefused(t *testing.T) {
	bound := func(chosen *settings.Settings) { chosen.Caller.Queries = 1 }
	inWorld(t, 1, bound, func(t *testing.T, w *world) {
		w.straggle(0, time.Second)
		first := w.start(t.Context(), "first", true)
		if got := w.query(t.Context(), "second", true, "orders"); got.problem.Reason != "overload" || got.problem.Execution != "not_run" {
			t.Errorf("over the bound: %+v", got)
		}
		if got := <-first; got.status != http.StatusOK {
			t.Errorf("within the bound: %+v", got)
		}
	})
}
