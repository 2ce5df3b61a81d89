package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/exchange"
	"github.com/banksail/banksail/gateway"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

// benchShards is the number of shards of the largest known deployment.
const benchShards = 129

// serveParts answers every request on every connection with a part of 100 bytes. It does as little
// work as possible, so that the benchmark measures the gateway.
func serveParts(b *testing.B, listener net.Listener) {
	b.Helper()
	reply := func(id []byte) []byte {
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n%s: %s\r\n%s: s-1\r\nTest-Load: 1,0,2\r\n\r\n%s",
			attemptHeader, id, stampHeader, bytes.Repeat([]byte("r"), 100))
	}
	name := []byte(attemptHeader + ": ")
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			var id []byte
			for {
				line, err := reader.ReadSlice('\n')
				if err != nil {
					return
				}
				if value, found := bytes.CutPrefix(line, name); found {
					id = bytes.TrimSpace(bytes.Clone(value))
				}
				if len(line) == 2 {
					if _, err := conn.Write(reply(id)); err != nil {
						return
					}
				}
			}
		}()
	}
}

// BenchmarkFanOut sends a query to all shards, each with one server on loopback, and merges the
// parts. Its time includes the servers' own, which is a small share.
func BenchmarkFanOut(b *testing.B) {
	g := gateway.New(gateway.Options{
		Headers:       exchange.Headers{AttemptID: attemptHeader, Remaining: remainingHeader, ExpectedServer: serverHeader, Stamp: stampHeader, NotExecuted: "Test-Not-Executed", Load: "Test-Load"},
		AnswerHeaders: gateway.AnswerHeaders{PartStamps: "Test-Parts", MissingParts: missingHeader},
		Logger:        zerolog.Nop(),
	})
	defer g.Close()
	definition := route.Definition{Version: 1, Limits: route.Limits{HeaderBytes: 4096, HeaderTimeout: testTimeout, IdleTimeout: testTimeout}}
	var shards []string
	var servers []discovery.Server
	for index := range benchShards {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		go serveParts(b, listener)
		name := fmt.Sprintf("shard-%d", index)
		shards = append(shards, name)
		servers = append(servers, discovery.Server{ID: name, Service: name, Address: listener.Addr().String(), Zone: "a", Slots: 2})
		definition.Services = append(definition.Services, route.Service{Name: name, Connections: 100})
	}
	definition.Routes = []route.Route{{Name: "all", Host: testHost, PathPrefix: "/", Repeatable: true, Timeout: testTimeout, Attempts: 1, Target: route.Target{Shards: shards, Top: 5, MinimumCoverage: 1}}}
	table, err := route.New(definition)
	if err != nil {
		b.Fatal(err)
	}
	g.SetTable(table)
	g.SetNodes(routing.NodesChanged{Live: 1, Serving: 1, IsServing: true})
	g.SetServers(servers)
	query := func() {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodGet, "/x", nil)
		request.Host, request.RequestURI = testHost, "/x"
		request.Header.Set(attemptHeader, "id")
		request.Header.Set(remainingHeader, "5000")
		g.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			b.Fatalf("status %d", recorder.Code)
		}
	}
	query() // opens the connections
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		query()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/benchShards, "µs/part")
}
