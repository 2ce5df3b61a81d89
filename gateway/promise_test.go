package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/banksail/banksail/gateway"
	"github.com/banksail/banksail/route"
)

const notExecutedHeader = "Test-Not-Executed"

// newGatewayWithRoutes returns a gateway with one server that runs the handler, and the routes /once/ for
// requests that must not be repeated, /any/ for others and /all/ for a fan-out.
func newGatewayWithRoutes(t *testing.T, handler http.HandlerFunc) *gateway.Gateway {
	t.Helper()
	g := newGateway(t, handler)
	newRoute := func(name string, repeatable bool, target route.Target) route.Route {
		return route.Route{
			Name: name, Host: testHost, PathPrefix: "/" + name + "/", Repeatable: repeatable, Timeout: testTimeout, Attempts: 1, Target: target,
		}
	}
	single := route.Target{Shares: []route.Share{{Service: "ledger", Weight: 1}}}
	table, err := route.New(route.Definition{
		Version:  2,
		Limits:   route.Limits{HeaderBytes: 4096, BodyBytes: 100, HeaderTimeout: testTimeout, IdleTimeout: testTimeout},
		Services: []route.Service{{Name: "ledger", Connections: 10}},
		Routes: []route.Route{
			newRoute("once", false, single),
			newRoute("any", true, single),
			newRoute("all", true, route.Target{Shards: []string{"ledger"}, Top: 5, MinimumCoverage: 1}),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	g.SetTable(table)
	return g
}

// Guards against an untrue promise. To callers 408, 421, 429 and 503 say that the request has not run and
// never will, so they send it again. A server in trouble ran requests and answered 503 without the header
// that says "not executed"; the answer was passed on as it was, and entries were made twice.
func TestServerFailureIsNotPassedOnAsPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, path := range []string{"/once/x", "/any/x", "/all/x"} {
			for _, hasStamp := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d to %s, with stamp: %t", status, path, hasStamp), func(t *testing.T) {
					var runs atomic.Int32
					g := newGatewayWithRoutes(t, func(writer http.ResponseWriter, _ *http.Request) {
						runs.Add(1)
						if !hasStamp {
							writer.Header().Del(stampHeader)
						}
						writer.Header().Set("Retry-After", "0.1")
						writer.WriteHeader(status)
					})
					recorder := httptest.NewRecorder()
					g.ServeHTTP(recorder, newRequest(path, ""))
					header := recorder.Result().Header
					if recorder.Code != http.StatusBadGateway || header.Get(stampHeader) != "" || header.Get("Retry-After") != "" {
						t.Errorf("status %d, header %v", recorder.Code, header)
					}
					if got := runs.Load(); got != 1 {
						t.Errorf("the request ran %d times", got)
					}
				})
			}
		}
	}
}

// A reply that says "not executed" is true, whatever its status, and so is the rejection after it. Failures
// of servers with any other status make no promise and are passed on unchanged, with their stamp.
func TestServerFailuresPassedOn(t *testing.T) {
	for name, test := range map[string]struct {
		path                string
		status, want        int
		notExecuted, asIs   bool
		expectedRetryHeader bool
	}{
		"shed":                      {path: "/once/x", status: 503, notExecuted: true, want: 503, expectedRetryHeader: true},
		"too many requests":         {path: "/once/x", status: 429, notExecuted: true, want: 503, expectedRetryHeader: true},
		"another server":            {path: "/once/x", status: 421, want: 503, expectedRetryHeader: true},
		"error":                     {path: "/once/x", status: 500, want: 500, asIs: true},
		"out of time":               {path: "/once/x", status: 504, want: 504, asIs: true},
		"not found":                 {path: "/once/x", status: 404, want: 404, asIs: true},
		"conflict":                  {path: "/once/x", status: 409, want: 409, asIs: true},
		"error, repeatable":         {path: "/any/x", status: 500, want: 500, asIs: true},
		"not found, repeatable":     {path: "/any/x", status: 404, want: 404, asIs: true},
		"shed, repeatable":          {path: "/any/x", status: 503, notExecuted: true, want: 503, expectedRetryHeader: true},
		"shed, fan-out":             {path: "/all/x", status: 503, notExecuted: true, want: 503, expectedRetryHeader: true},
		"redirect":                  {path: "/once/x", status: 302, want: 302, asIs: true},
		"bad gateway of the server": {path: "/once/x", status: 502, want: 502, asIs: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGatewayWithRoutes(t, func(writer http.ResponseWriter, _ *http.Request) {
				if test.notExecuted {
					writer.Header().Set(notExecutedHeader, "1")
				}
				writer.WriteHeader(test.status)
			})
			recorder := httptest.NewRecorder()
			g.ServeHTTP(recorder, newRequest(test.path, ""))
			header := recorder.Result().Header
			if recorder.Code != test.want || (header.Get(stampHeader) != "") != test.asIs || (header.Get("Retry-After") != "") != test.expectedRetryHeader {
				t.Errorf("status %d, want %d; header %v", recorder.Code, test.want, header)
			}
		})
	}
}
