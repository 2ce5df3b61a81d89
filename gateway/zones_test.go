package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/exchange"
	"github.com/banksail/banksail/gateway"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

// inFlight returns the gauge of in-flight attempts to servers of a zone.
func inFlight(t *testing.T, registry *prometheus.Registry, zone string) float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "banksail_gateway_attempts_in_flight" {
			continue
		}
		for _, metric := range family.GetMetric() {
			if metric.GetLabel()[0].GetValue() == zone {
				return metric.GetGauge().GetValue()
			}
		}
	}
	return 0
}

// Attempts in flight in an evacuated zone complete, and the gauge falls to zero. Later requests are
// rejected at once if no other zone has a server.
func TestEvacuatedZoneDrains(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		close(arrived)
		<-release
		writer.Header().Set(attemptHeader, request.Header.Get(attemptHeader))
		writer.Header().Set(stampHeader, "stamp")
	}))
	defer server.Close()
	registry := prometheus.NewRegistry()
	g := gateway.New(gateway.Options{
		Headers:  exchange.Headers{AttemptID: attemptHeader, Remaining: remainingHeader, ExpectedServer: serverHeader, Stamp: stampHeader, NotExecuted: "Test-Not-Executed", Load: "Test-Load"},
		Registry: registry,
		Logger:   zerolog.Nop(),
	})
	defer g.Close()
	table, err := route.New(route.Definition{
		Version: 1, Limits: route.Limits{HeaderBytes: 4096, HeaderTimeout: testTimeout, IdleTimeout: testTimeout},
		Services: []route.Service{{Name: "ledger", Connections: 10}},
		Routes: []route.Route{{Name: "one", Host: testHost, PathPrefix: "/", Repeatable: true, Timeout: testTimeout, Attempts: 1,
			Target: route.Target{Shares: []route.Share{{Service: "ledger", Weight: 1}}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	g.SetTable(table)
	g.SetNodes(routing.NodesChanged{Live: 1, Serving: 1, IsServing: true})
	g.SetServers([]discovery.Server{{ID: "s", Service: "ledger", Address: strings.TrimPrefix(server.URL, "http://"), Zone: "a", Slots: 2}})
	query := func() *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodGet, "/x", nil)
		request.Host, request.RequestURI = testHost, "/x"
		request.Header.Set(attemptHeader, "id")
		g.ServeHTTP(recorder, request)
		return recorder
	}
	first := make(chan *httptest.ResponseRecorder, 1)
	go func() { first <- query() }()
	<-arrived
	if got := inFlight(t, registry, "a"); got != 1 {
		t.Errorf("%g attempts in flight, want 1", got)
	}
	if !g.SetEvacuated([]string{"a"}) || g.SetEvacuated([]string{"a"}) || g.EvacuatedZoneCount() != 1 {
		t.Error("SetEvacuated did not report exactly one change, or EvacuatedZoneCount is not 1")
	}
	start := time.Now()
	if got := query(); got.Code != http.StatusServiceUnavailable || got.Header().Get("Retry-After") == "" || time.Since(start) > testTimeout/2 {
		t.Errorf("request after the evacuation: status %d after %s", got.Code, time.Since(start))
	}
	close(release)
	if got := <-first; got.Code != http.StatusOK {
		t.Errorf("request in flight during the evacuation: status %d", got.Code)
	}
	if got := inFlight(t, registry, "a"); got != 0 {
		t.Errorf("%g attempts in flight after the last completed, want 0", got)
	}
}
