package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/peer"
)

// benchmarkServer answers every sub-request immediately.
func benchmarkServer(writer http.ResponseWriter, request *http.Request) {
	data, _ := io.ReadAll(request.Body)
	var received backend.Request
	if json.Unmarshal(data, &received) != nil {
		http.Error(writer, "malformed", http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprintf(writer, `{"attempt_id":%q,"status":"done","snapshot":%d,"range":{"start":%d,"end":%d},"body":{"found":%q}}`,
		received.AttemptID, received.Snapshot, received.Range.Start, received.Range.End, strings.Repeat("x", benchmarkReplyBytes))
}

// benchmarkReplyBytes is the size of the result in each reply.
const benchmarkReplyBytes = 1 << 10

// byteCountingWriter counts the body bytes of an owner's responses.
type byteCountingWriter struct {
	http.ResponseWriter
	replyBytes *int64
}

func (c byteCountingWriter) Write(data []byte) (int, error) {
	*c.replyBytes += int64(len(data))
	return c.ResponseWriter.Write(data)
}

// processCPUTime returns the CPU time that the process has used on all cores.
func processCPUTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkForward compares sub-requests sent directly to a server on loopback
// with sub-requests forwarded through an owner. Requester, owner and server
// share the process, so the time and allocations include all three.
func BenchmarkForward(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(benchmarkServer))
	defer server.Close()
	address := server.Listener.Addr().String()
	client := backend.NewClient(backend.ClientOptions{})
	defer client.CloseIdleConnections()
	forwardTarget := newTestForwardServer(client, backend.DefaultConnectionLimit, b.Context())
	forwardTarget.lookUpServer = func(string) (string, int) { return address, backend.DefaultConnectionLimit }
	agent := peer.NewAgent(peer.AgentOptions{Self: membership.Member{ID: "owner"}, ForwardTarget: forwardTarget, Seed: 1})
	var requestBytes, replyBytes int64
	owner := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		requestBytes += request.ContentLength
		agent.Handler().ServeHTTP(byteCountingWriter{ResponseWriter: writer, replyBytes: &replyBytes}, request)
	}))
	defer owner.Close()
	forwarding := newTestRouter(b, []membership.Member{{ID: "owner", Address: owner.Listener.Addr().String()}})
	direct := newTestRouter(b, nil)
	direct.direct = client
	direct.route = func(string) route { return route{connections: backend.DefaultConnectionLimit} }
	for _, serverRoute := range []struct {
		name   string
		router *router
	}{{"direct", direct}, {"forwarded", forwarding}} {
		b.Run(serverRoute.name, func(b *testing.B) {
			requestBytes, replyBytes = 0, 0
			b.ReportAllocs()
			before := processCPUTime(b)
			for b.Loop() {
				if _, err := serverRoute.router.Query(b.Context(), address, forwardedRequest()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(processCPUTime(b)-before)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(requestBytes)/float64(b.N), "peer-request-B/op")
			b.ReportMetric(float64(replyBytes)/float64(b.N), "peer-reply-B/op")
		})
	}
}
