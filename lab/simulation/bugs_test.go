package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/caller"
	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/network"
	"github.com/banksail/banksail/lab/schedule"
)

// bug is a defect seeded into the system under test that the checker must
// detect.
type bug struct {
	name      string
	invariant history.Invariant
	hooks     Hooks
	// kinds are the kinds of fault under which the bug shows. A fault of a
	// server is injected into several servers, so that nodes that avoid one
	// faulty server still send requests to the others.
	kinds []schedule.Kind
}

// bugTargets is the number of servers into which a server fault is injected.
const bugTargets = 6

// bugSeeds is the number of seeds of which at least one must reveal a bug.
const bugSeeds = 4

func bugs() []bug {
	return []bug{
		{"snapshot-echo-unchecked", history.OneSnapshot, Hooks{Server: rewriteReplies(echoSnapshot), Fault: useWrongSnapshots}, []schedule.Kind{schedule.CrossedReplies}},
		{"coverage-inflated", history.TrueCoverage, Hooks{Caller: rewriteAnswers(inflateCoverage)}, []schedule.Kind{schedule.FreezeServer, schedule.SlowGroup}},
		{"coverage-deflated", history.TrueCoverage, Hooks{Caller: rewriteAnswers(deflateCoverage)}, nil},
		{"attempt-echo-unchecked", history.OwnAnswer, Hooks{Server: rewriteReplies(echoAttempt)}, []schedule.Kind{schedule.CrossedReplies}},
		{"unknown-told-as-not-run", history.NotRun, Hooks{Caller: rewriteProblems(claimNotRun)}, []schedule.Kind{schedule.CloseAfterRead}},
		{"silent-resend", history.AtMostOnce, Hooks{Server: deliverTwice}, nil},
		{"drain-ignored", history.LeavingServer, Hooks{Fault: leaveUnannounced}, []schedule.Kind{schedule.Drain}},
		{"stop-cuts", history.PlannedStop, Hooks{Stop: stopImmediately}, []schedule.Kind{schedule.PlannedStop}},
		{"configuration-not-spread", history.Configuration, Hooks{Fault: partitionPermanently}, []schedule.Kind{schedule.Partition}},
		{"late-answers", history.OneFinalAnswer, Hooks{Caller: delayAnswers}, nil},
		{"group-never-back", history.Recovery, Hooks{Fault: loseGroupPermanently}, []schedule.Kind{schedule.LoseServer}},
	}
}

func findBug(name string) (bug, error) {
	if name == "" {
		return bug{}, nil
	}
	var names []string
	for _, seeded := range bugs() {
		if seeded.name == name {
			return seeded, nil
		}
		names = append(names, seeded.name)
	}
	return bug{}, fmt.Errorf("unknown bug %q; known bugs are %v", name, names)
}

// schedule returns the faults under which the bug shows.
func (b bug) schedule() []schedule.Fault {
	faults := []schedule.Fault{}
	for _, kind := range b.kinds {
		for _, target := range faultTargets(kind) {
			faults = append(faults, schedule.Fault{
				Kind: kind, Target: target, Peer: serverIP(0), Delay: 900 * time.Millisecond,
				At: 2 * time.Second, Until: 8 * time.Second,
			})
		}
	}
	return faults
}

// faultsOverride returns the faults that replace the seed's own schedule. It
// returns nil without a bug, and with -seeds, which runs the schedules of the
// seeds.
func (b bug) faultsOverride() []schedule.Fault {
	if b.name == "" || *seedCount > 0 {
		return nil
	}
	return b.schedule()
}

func faultTargets(kind schedule.Kind) []string {
	switch kind {
	case schedule.PlannedStop, schedule.Partition:
		return []string{nodeIP(0)}
	case schedule.CrossedReplies, schedule.CloseAfterRead:
		var servers []string
		for index := range bugTargets {
			servers = append(servers, serverIP(index))
		}
		return servers
	default:
		return []string{serverIP(0)}
	}
}

// TestSeededBugs checks that the checker reports a violation of the expected
// invariant for each bug, in a run of the complete system.
func TestSeededBugs(t *testing.T) {
	for _, seeded := range bugs() {
		t.Run(seeded.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(bugSeeds) {
				result := runSeed(t, Options{Seed: seed, Hooks: seeded.hooks, Faults: seeded.schedule()})
				if hasViolation(t, result, seeded.invariant) {
					return
				}
			}
			t.Fatalf("no violation of the expected invariant in %d seeds", bugSeeds)
		})
	}
}

// hasViolation reports whether the checker found a violation of the invariant.
func hasViolation(t *testing.T, result Result, invariant history.Invariant) bool {
	t.Helper()
	for _, violation := range result.Report.Violations {
		if violation.Invariant == invariant {
			t.Logf("violation found with seed %d: %v", result.Schedule.Seed, violation)
			return true
		}
	}
	return false
}

// rewriteReplies wraps a back end's handler so that alter can change each
// reply, given its request.
func rewriteReplies(alter func(*backend.Request, *backend.Reply)) func(string, http.Handler) http.Handler {
	return func(_ string, inner http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path != backend.QueryPath {
				inner.ServeHTTP(writer, request)
				return
			}
			data, _ := io.ReadAll(request.Body)
			request.Body = io.NopCloser(bytes.NewReader(data))
			var query backend.Request
			json.Unmarshal(data, &query)
			recorded := httptest.NewRecorder()
			inner.ServeHTTP(recorded, request)
			var reply backend.Reply
			if json.Unmarshal(recorded.Body.Bytes(), &reply) == nil {
				alter(&query, &reply)
				altered, _ := json.Marshal(reply)
				recorded.Body = bytes.NewBuffer(altered)
			}
			writer.WriteHeader(recorded.Code)
			writer.Write(recorded.Body.Bytes())
		})
	}
}

// echoSnapshot simulates a node that does not compare the reply's snapshot with
// the requested one.
func echoSnapshot(query *backend.Request, reply *backend.Reply) {
	if reply.Snapshot != nil {
		reply.Snapshot = &query.Snapshot
	}
}

// useWrongSnapshots makes a server run requests on a snapshot other than the
// requested one. It injects nothing else, so that nodes have no other reason to
// avoid the server.
func useWrongSnapshots(s *System, fault schedule.Fault) bool {
	if fault.Kind != schedule.CrossedReplies {
		return false
	}
	s.serverAt(fault.Target).faults.update(func(f *emulator.ServerFaults) { f.WrongSnapshotShare = frequentShare })
	return true
}

// echoAttempt simulates a node that does not compare the reply's attempt ID and
// range with those of the request.
func echoAttempt(query *backend.Request, reply *backend.Reply) {
	reply.AttemptID = query.AttemptID
	if reply.Range != nil {
		reply.Range = &query.Range
	}
}

// deliverTwice simulates a transport that silently resends each request.
func deliverTwice(_ string, inner http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		data, _ := io.ReadAll(request.Body)
		if request.URL.Path == backend.QueryPath {
			request.Body = io.NopCloser(bytes.NewReader(data))
			inner.ServeHTTP(httptest.NewRecorder(), request)
		}
		request.Body = io.NopCloser(bytes.NewReader(data))
		inner.ServeHTTP(writer, request)
	})
}

// roundTripper adapts a function to http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(request *http.Request) (*http.Response, error) { return f(request) }

// rewriteBodies wraps a transport so that alter can change each response body.
func rewriteBodies(alter func(status int, body []byte) []byte) func(http.RoundTripper) http.RoundTripper {
	return func(inner http.RoundTripper) http.RoundTripper {
		return roundTripper(func(request *http.Request) (*http.Response, error) {
			response, err := inner.RoundTrip(request)
			if err != nil {
				return nil, err
			}
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			if err != nil {
				return nil, err
			}
			response.Body = io.NopCloser(bytes.NewReader(alter(response.StatusCode, body)))
			return response, nil
		})
	}
}

func rewriteAnswers(alter func(*caller.Answer)) func(http.RoundTripper) http.RoundTripper {
	return rewriteBodies(func(status int, body []byte) []byte {
		var answer caller.Answer
		if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
			return body
		}
		alter(&answer)
		altered, _ := json.Marshal(answer)
		return altered
	})
}

func rewriteProblems(alter func(*caller.Problem)) func(http.RoundTripper) http.RoundTripper {
	return rewriteBodies(func(status int, body []byte) []byte {
		var problem caller.Problem
		if status == http.StatusOK || json.Unmarshal(body, &problem) != nil {
			return body
		}
		alter(&problem)
		altered, _ := json.Marshal(problem)
		return altered
	})
}

// inflateCoverage reports every answer as complete.
func inflateCoverage(answer *caller.Answer) {
	answer.Coverage, answer.Complete, answer.Missing = 1, true, nil
}

// deflateCoverage drops a part of the answer but leaves it in the reported
// coverage.
func deflateCoverage(answer *caller.Answer) {
	if len(answer.Parts) > 1 {
		answer.Parts = answer.Parts[1:]
	}
}

// claimNotRun reports every failed request as not run.
func claimNotRun(problem *caller.Problem) { problem.Execution = string(history.ExecutionNotRun) }

// delayAnswers delays answers beyond the request's deadline.
func delayAnswers(inner http.RoundTripper) http.RoundTripper {
	return roundTripper(func(request *http.Request) (*http.Response, error) {
		response, err := inner.RoundTrip(request)
		if err == nil {
			time.Sleep(2 * time.Second)
		}
		return response, err
	})
}

// leaveUnannounced records a server as leaving without announcing it to any
// node.
func leaveUnannounced(s *System, fault schedule.Fault) bool {
	if fault.Kind != schedule.Drain {
		return false
	}
	srv := s.serverAt(fault.Target)
	srv.mutex.Lock()
	srv.leavingSince = s.recorder.Now()
	srv.mutex.Unlock()
	s.sleepUntil(fault.Until)
	srv.endLeaving()
	return true
}

// stopImmediately records a planned stop of a node but kills it with requests
// in flight.
func stopImmediately(s *System, name string) {
	for _, host := range s.nodes {
		if host.name != name {
			continue
		}
		cancel, _, _ := host.claimShutdown()
		now := s.recorder.Now()
		host.updateLatestRun(func(run *history.NodeRun) { run.StopRequestedAt, run.End = now, now })
		s.network.Kill(host.ip, network.KillReset)
		cancel()
	}
}

// partitionPermanently cuts a node off from the store and all its peers, and
// neither heals nor records it.
func partitionPermanently(s *System, fault schedule.Fault) bool {
	host := s.nodeAt(fault.Target)
	if fault.Kind != schedule.Partition || host == nil {
		return false
	}
	others := []string{storeIP}
	for _, other := range s.nodes {
		if other != host {
			others = append(others, other.ip)
		}
	}
	for _, other := range others {
		s.network.Cut(host.ip, other)
		s.network.Cut(other, host.ip)
	}
	return true
}

// loseGroupPermanently kills all replicas of a group and does not restart them.
func loseGroupPermanently(s *System, fault schedule.Fault) bool {
	if fault.Kind != schedule.LoseServer {
		return false
	}
	for _, srv := range s.groupOf(s.serverAt(fault.Target)) {
		srv.kill(network.KillVanish)
	}
	return true
}
