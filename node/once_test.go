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

func TestNonRepeatableRequestRunsOnce(t *testing.T) {
	withTestEnv(t, 2, nil, func(t *testing.T, env *testEnv) {
		first := env.query(t.Context(), "return-1", false, "orders")
		second := env.query(t.Context(), "return-1", false, "orders")
		if !slices.Equal(sortedBodies(first.answer), sortedBodies(second.answer)) || second.answer.Snapshot != 1 {
			t.Errorf("first %+v, second %+v", first, second)
		}
		if len(second.answer.Warnings) != 1 {
			t.Errorf("warnings %q", second.answer.Warnings)
		}
		conflicting := env.query(t.Context(), "return-1", false, "other orders")
		if conflicting.status != http.StatusConflict || conflicting.problem.Field != "request_id" {
			t.Errorf("different body with the same ID got %+v", conflicting)
		}
		if count := env.executions("return-1"); count != 2 {
			t.Errorf("%d executions on 2 servers", count)
		}
	})
}

func TestDuplicatesJoinRunInProgress(t *testing.T) {
	withTestEnv(t, 1, nil, func(t *testing.T, env *testEnv) {
		env.delayServer(0, time.Second)
		results := []<-chan response{
			env.startQuery(t.Context(), "return-1", false),
			env.startQuery(t.Context(), "return-1", false),
			env.startQuery(t.Context(), "return-1", false),
		}
		for _, result := range results {
			if got := <-result; got.status != http.StatusOK || !got.answer.Complete {
				t.Errorf("got %+v", got)
			}
		}
		if count := env.executions("return-1"); count != 1 {
			t.Errorf("%d executions", count)
		}
	})
}

func TestDuplicateIsAnsweredByItsOwnDeadline(t *testing.T) {
	withTestEnv(t, 1, nil, func(t *testing.T, env *testEnv) {
		env.delayServer(0, time.Second)
		first := env.startQuery(t.Context(), "return-1", false)
		got, took := env.queryNonRepeatable(t.Context(), "return-1", 200*time.Millisecond)
		if got.problem.Execution != "unknown" || took > 250*time.Millisecond {
			t.Errorf("after %v got %+v", took, got)
		}
		if got := <-first; got.status != http.StatusOK {
			t.Errorf("first request got %+v", got)
		}
	})
}

func TestDuplicateOverLimitIsNotReportedAsNotRun(t *testing.T) {
	limitQueries := func(nodeSettings *settings.Settings) { nodeSettings.Caller.Queries = 1 }
	withTestEnv(t, 1, limitQueries, func(t *testing.T, env *testEnv) {
		env.delayServer(0, time.Second)
		first := env.startQuery(t.Context(), "return-1", false)
		if got := env.query(t.Context(), "return-1", false, "orders"); got.problem.Execution != "unknown" {
			t.Errorf("duplicate while the request runs: %+v", got)
		}
		<-first
		holder := env.startQuery(t.Context(), "other", true)
		if got := env.query(t.Context(), "return-1", false, "orders"); got.problem.Execution != "unknown" {
			t.Errorf("duplicate after the request ran: %+v", got)
		}
		<-holder
	})
}

func TestDuplicateAfterConfigurationChangeIsNotReportedAsNotRun(t *testing.T) {
	changes := map[string]func(*policy.Config){
		"service removed":  func(config *policy.Config) { config.Services = []policy.Service{} },
		"class renamed":    func(config *policy.Config) { config.Classes[0].Name = "other" },
		"shorter deadline": func(config *policy.Config) { config.Classes[0].LongestWait, config.Classes[0].Deadline = 10, 10 },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, 1, nil, func(t *testing.T, env *testEnv) {
				if got, _ := env.queryNonRepeatable(t.Context(), "return-1", time.Second); got.status != http.StatusOK {
					t.Errorf("first request: %+v", got)
				}
				config := env.configuration(1)
				change(&config)
				env.putConfiguration(2, config)
				time.Sleep(settleTime)
				if got, _ := env.queryNonRepeatable(t.Context(), "return-1", time.Second); got.status != http.StatusOK && got.problem.Execution != "unknown" {
					t.Errorf("duplicate after the change: %+v", got)
				}
			})
		})
	}
}

func TestClaimEndsByDeadline(t *testing.T) {
	withTestEnv(t, 1, nil, func(t *testing.T, env *testEnv) {
		env.machines.Upsert(machinelist.Machine{
			ID: "node-2", Address: "10.0.0.9:7103", Zone: "zone-a",
			Role: machinelist.RoleNode, State: machinelist.StateLive, Incarnation: "1",
		})
		env.network.Cut(nodeIP, "10.0.0.9")
		time.Sleep(settleTime)
		got, took := env.queryNonRepeatable(t.Context(), "return-1", 50*time.Millisecond)
		if got.problem.Execution != "not_run" || took > 100*time.Millisecond {
			t.Errorf("after %v got %+v", took, got)
		}
	})
}

func TestDeduplicationWindowExpires(t *testing.T) {
	shorten := func(nodeSettings *settings.Settings) { nodeSettings.AtMostOnce.Window = 30 * time.Second }
	withTestEnv(t, 1, shorten, func(t *testing.T, env *testEnv) {
		env.query(t.Context(), "return-1", false, "orders")
		time.Sleep(29 * time.Second)
		env.query(t.Context(), "return-1", false, "orders")
		if count := env.executions("return-1"); count != 1 {
			t.Errorf("%d executions within the window", count)
		}
		time.Sleep(2 * time.Second)
		env.query(t.Context(), "return-1", false, "orders")
		if count := env.executions("return-1"); count != 2 {
			t.Errorf("%d executions after the window", count)
		}
	})
}

func TestUnknownOutcomeOfNonRepeatableRequestIsLogged(t *testing.T) {
	withTestEnv(t, 1, nil, func(t *testing.T, env *testEnv) {
		env.servers[0].SetFaults(emulator.ServerFaults{CloseAfterShare: 1})
		got := env.query(t.Context(), "return-1", false, "secret orders")
		if got.problem.Execution != "unknown" {
			t.Errorf("got %+v", got)
		}
		if log := env.log.String(); !strings.Contains(log, `"level":"warn","request_id":"return-1"`) || strings.Contains(log, "secret") {
			t.Errorf("log:\n%s", log)
		}
		env.servers[0].SetFaults(emulator.ServerFaults{})
		if duplicate := env.query(t.Context(), "return-1", false, "secret orders"); duplicate.problem.Execution != "unknown" || env.executions("return-1") != 1 {
			t.Errorf("duplicate: %+v, %d executions", duplicate, env.executions("return-1"))
		}
	})
}

func TestRequestWithEvictedResultIsNotRunAgain(t *testing.T) {
	keepNone := func(nodeSettings *settings.Settings) { nodeSettings.AtMostOnce.ResultBytes = 0 }
	withTestEnv(t, 1, keepNone, func(t *testing.T, env *testEnv) {
		env.query(t.Context(), "return-1", false, "orders")
		got := env.query(t.Context(), "return-1", false, "orders")
		if got.status != http.StatusConflict || got.problem.Reason != "result_forgotten" || got.problem.Execution != "unknown" {
			t.Errorf("duplicate: %+v", got)
		}
		if count := env.executions("return-1"); count != 1 {
			t.Errorf("%d executions", count)
		}
	})
}

func TestRequestThatDidNotRunMayBeRetried(t *testing.T) {
	withTestEnv(t, 1, nil, func(t *testing.T, env *testEnv) {
		faults := env.servers[0].Faults()
		faults.ShedShare = 1
		env.servers[0].SetFaults(faults)
		first := env.query(t.Context(), "return-1", false, "orders")
		if first.problem.Execution != "not_run" {
			t.Errorf("request shed by the only server: %+v", first)
		}
		faults.ShedShare = 0
		env.servers[0].SetFaults(faults)
		time.Sleep(time.Second)
		if second := env.query(t.Context(), "return-1", false, "orders"); second.status != http.StatusOK {
			t.Errorf("retry: %+v", second)
		}
		if count := env.executions("return-1"); count != 1 {
			t.Errorf("%d executions", count)
		}
	})
}
