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

func TestQueryEndToEnd(t *testing.T) {
	withTestEnv(t, 8, nil, func(t *testing.T, env *testEnv) {
		got := env.query(t.Context(), "r-1", true, "orders")
		if got.status != http.StatusOK || !got.answer.Complete || got.answer.Coverage != 1 || got.answer.Snapshot != 1 {
			t.Fatalf("got %+v", got)
		}
		if len(got.answer.Parts) != 8 || len(got.answer.Missing) != 0 || env.executions("r-1") != 8 {
			t.Errorf("%d parts, missing %v, %d executions", len(got.answer.Parts), got.answer.Missing, env.executions("r-1"))
		}
		if explanation, found := env.node.FindExplanation("r-1"); !found || len(explanation.Steps) == 0 {
			t.Errorf("explanation %+v", explanation)
		}
		_, metrics := env.getOperator("/metrics")
		if !strings.Contains(metrics, `banksail_queries_total{class="normal",execution="done",reason="complete",service="catalog"} 1`) {
			t.Errorf("metrics:\n%s", metrics)
		}
	})
}

func TestUnknownNamesAreRejected(t *testing.T) {
	withTestEnv(t, 1, nil, func(t *testing.T, env *testEnv) {
		env.putConfiguration(2, env.configuration(1))
		post := func(path, class, deadline string) (int, string) {
			document := `{"request_id":"r-1","class":"` + class + `","deadline_ms":` + deadline + `,"repeatable":true,"body":1}`
			reply, err := env.client.Post("http://"+callerAddress+path, "application/json", strings.NewReader(document))
			env.check(err)
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
		if count := env.executions("r-1"); count != 0 {
			t.Errorf("%d executions", count)
		}
	})
}

func TestPlannedStopFinishesRunningQueries(t *testing.T) {
	withTestEnv(t, 2, nil, func(t *testing.T, env *testEnv) {
		env.delayServer(1, 10*time.Second)
		running := env.startQuery(t.Context(), "running", true)
		env.stop()
		time.Sleep(deliveryTime)
		if status, text := env.getOperator("/readyz"); status != http.StatusServiceUnavailable || text != "stopping\n" {
			t.Errorf("readyz: %d %q", status, text)
		}
		if status, _ := env.getOperator("/healthz"); status != http.StatusOK {
			t.Errorf("healthz: %d", status)
		}
		refused := env.query(t.Context(), "late", true, "orders")
		if refused.problem.Execution != "not_run" || refused.problem.Reason != "stopping" || !refused.closes {
			t.Errorf("query during the stop: %+v", refused)
		}
		if env.executions("late") != 0 {
			t.Error("the rejected request was executed")
		}
		if got := <-running; got.status != http.StatusOK || !got.answer.Complete || !got.closes {
			t.Errorf("running query got %+v", got)
		}
		if err := <-env.ended; err != nil {
			t.Errorf("Run returned %v", err)
		}
		env.ended <- nil
	})
}

func TestStopAnswersRequestOnOpenConnection(t *testing.T) {
	withTestEnv(t, 1, nil, func(t *testing.T, env *testEnv) {
		transport := env.client.Transport.(*http.Transport)
		conn, err := transport.DialContext(t.Context(), "tcp", callerAddress)
		env.check(err)
		time.Sleep(deliveryTime)
		env.stop()
		time.Sleep(settings.Default().Stop.Grace + deliveryTime)
		request, err := http.NewRequest(http.MethodPost, "http://"+callerAddress+"/v1/services/catalog/queries",
			strings.NewReader(`{"request_id":"r-1","class":"normal","repeatable":true,"body":1}`))
		env.check(err)
		env.check(request.Write(conn))
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

func TestPlannedStopRejectsQueuedQueries(t *testing.T) {
	withTestEnv(t, 1, nil, func(t *testing.T, env *testEnv) {
		env.delayServer(0, 5*time.Second)
		var results []<-chan response
		for range 12 {
			results = append(results, env.startQuery(t.Context(), "held", true))
		}
		env.stop()
		finished, refused := 0, 0
		for _, result := range results {
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
		if ran := env.executions("held"); ran < finished {
			t.Errorf("%d queries finished, but only %d ran", finished, ran)
		}
		t.Logf("%d finished, %d rejected", finished, refused)
	})
}

func TestAbortEndsAtOnceAndLogsInterruptedRequests(t *testing.T) {
	withTestEnv(t, 1, nil, func(t *testing.T, env *testEnv) {
		env.delayServer(0, 10*time.Second)
		pending := env.startQuery(t.Context(), "cut-me", true)
		env.stop()
		time.Sleep(2 * time.Second)
		before := time.Now()
		env.node.Abort()
		err := <-env.ended
		env.ended <- nil
		if !errors.Is(err, node.ErrAborted) || time.Since(before) > 2*time.Second {
			t.Errorf("Run returned %v after %v", err, time.Since(before))
		}
		if got := <-pending; got.err == nil && got.problem.Execution == "not_run" {
			t.Errorf("interrupted request got %+v", got)
		}
		if !strings.Contains(env.log.String(), `"request_ids":["cut-me"]`) {
			t.Errorf("log:\n%s", env.log)
		}
	})
}

func TestQueryMayOutlastReadTimeout(t *testing.T) {
	shorten := func(nodeSettings *settings.Settings) { nodeSettings.Caller.ReadTimeout = 2 * time.Second }
	withTestEnv(t, 1, shorten, func(t *testing.T, env *testEnv) {
		env.delayServer(0, 15*time.Second)
		if got := env.query(t.Context(), "r-1", true, "orders"); got.status != http.StatusOK || !got.answer.Complete {
			t.Errorf("got %+v", got)
		}
	})
}

func TestCallerDisconnects(t *testing.T) {
	tests := map[string]struct{ repeatable, completes bool }{
		"repeatable request is cancelled":        {repeatable: true, completes: false},
		"not repeatable request goes to its end": {repeatable: false, completes: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, 1, nil, func(t *testing.T, env *testEnv) {
				env.delayServer(0, 2*time.Second)
				ctx, leave := context.WithCancel(t.Context())
				pending := env.startQuery(ctx, "r-1", test.repeatable)
				time.Sleep(time.Second)
				leave()
				<-pending
				time.Sleep(3 * time.Second)
				executions := env.servers[0].Executions()
				if len(executions) != 1 || executions[0].Completed != test.completes {
					t.Errorf("executions %+v", executions)
				}
				second := env.query(t.Context(), "r-1", test.repeatable, "orders")
				if second.status != http.StatusOK || !second.answer.Complete {
					t.Errorf("second query: %+v", second)
				}
			})
		})
	}
}

func TestDrainIsDetectedFromHealth(t *testing.T) {
	withTestEnv(t, 1, nil, func(t *testing.T, env *testEnv) {
		faults := env.servers[0].Faults()
		faults.HealthState = "draining"
		env.servers[0].SetFaults(faults)
		time.Sleep(3 * time.Second)
		got := env.query(t.Context(), "r-1", true, "orders")
		if got.problem.Execution != "not_run" || env.executions("r-1") != 0 {
			t.Errorf("3 s after the drain: %+v, %d executions", got, env.executions("r-1"))
		}
	})
}

func TestDrainIsDetectedDespiteHungServers(t *testing.T) {
	const servers, draining = 100, 99
	withTestEnv(t, servers, nil, func(t *testing.T, env *testEnv) {
		for index := range draining {
			env.servers[index].SetFaults(emulator.ServerFaults{Freeze: true})
		}
		time.Sleep(10 * time.Second)
		env.servers[draining].SetFaults(emulator.ServerFaults{HealthState: "draining"})
		time.Sleep(3 * time.Second)
		ctx, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		env.query(ctx, "r-1", true, "orders")
		if executions := env.servers[draining].Executions(); len(executions) != 0 {
			t.Errorf("3 s after the drain: %+v", executions)
		}
		for index := range draining {
			env.servers[index].SetFaults(emulator.ServerFaults{})
		}
	})
}

func TestConfigurationChangesWhileRunning(t *testing.T) {
	withTestEnv(t, 2, nil, func(t *testing.T, env *testEnv) {
		env.delayServer(0, 8*time.Second)
		running := env.startQuery(t.Context(), "running", true)
		without := env.configuration(2)
		without.Services = []policy.Service{}
		env.putConfiguration(2, without)
		time.Sleep(2 * time.Second)
		if got := env.query(t.Context(), "late", true, "orders"); got.status != http.StatusNotFound {
			t.Errorf("query for a removed service got %+v", got)
		}
		if got := <-running; got.status != http.StatusOK || !got.answer.Complete {
			t.Errorf("query in flight while its service was removed: %+v", got)
		}
		env.delayServer(0, serviceTime*time.Millisecond)
		env.putConfiguration(3, env.configuration(2))
		time.Sleep(settleTime)
		if got := env.query(t.Context(), "back", true, "orders"); got.status != http.StatusOK {
			t.Errorf("query for the restored service: %+v", got)
		}
		if _, text := env.getOperator("/readyz"); text != "ready at revision 3\n" {
			t.Errorf("readyz: %q", text)
		}
	})
}

func TestNodeWithoutConfigurationRejectsQueries(t *testing.T) {
	withTestEnv(t, 0, nil, func(t *testing.T, env *testEnv) {
		if status, text := env.getOperator("/readyz"); status != http.StatusServiceUnavailable || text != "no configuration\n" {
			t.Errorf("readyz: %d %q", status, text)
		}
		got := env.query(t.Context(), "r-1", true, "orders")
		if got.status != http.StatusServiceUnavailable || got.problem.Reason != "no_configuration" || got.problem.Execution != "not_run" {
			t.Errorf("got %+v", got)
		}
	})
}

func TestQueriesOverLimitAreRejected(t *testing.T) {
	limitQueries := func(nodeSettings *settings.Settings) { nodeSettings.Caller.Queries = 1 }
	withTestEnv(t, 1, limitQueries, func(t *testing.T, env *testEnv) {
		env.delayServer(0, time.Second)
		first := env.startQuery(t.Context(), "first", true)
		if got := env.query(t.Context(), "second", true, "orders"); got.problem.Reason != "overload" || got.problem.Execution != "not_run" {
			t.Errorf("above the limit: %+v", got)
		}
		if got := <-first; got.status != http.StatusOK {
			t.Errorf("within the limit: %+v", got)
		}
	})
}
