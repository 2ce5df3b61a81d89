package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/relay"
	"github.com/banksail/banksail/route"
)

// publisher publishes a fixed publication and records the last request.
type publisher struct {
	publication discovery.Publication
	unavailable bool
	lastRequest discovery.PublicationRequest
}

func (p *publisher) Publish(request discovery.PublicationRequest) (discovery.Publication, bool) {
	p.lastRequest = request
	return p.publication, !p.unavailable
}

// startServer serves a publisher and counts the bytes of its response bodies.
func startServer(t *testing.T, p *publisher) (address string, bytes *atomic.Int64) {
	t.Helper()
	bytes = new(atomic.Int64)
	handler := relay.Handler(p)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(&countingWriter{writer, bytes}, request)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), bytes
}

type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w *countingWriter) Write(data []byte) (int, error) {
	w.bytes.Add(int64(len(data)))
	return w.ResponseWriter.Write(data)
}

// largeTable returns a routing table with many routes over the same shards.
func largeTable(routes, shards int) route.Definition {
	definition := route.Definition{Version: 3, Limits: route.Limits{HeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1}}
	var names []string
	for i := range shards {
		names = append(names, fmt.Sprintf("shard-%d", i))
		definition.Services = append(definition.Services, route.Service{Name: names[i], Connections: 20})
	}
	for i := range routes {
		definition.Routes = append(definition.Routes, route.Route{
			Name: fmt.Sprintf("route-%d", i), Host: "host.example", PathPrefix: fmt.Sprintf("/%d/", i), Repeatable: true,
			Timeout: time.Second, Attempts: 2, Target: route.Target{Shards: names, Top: 5, MinimumCoverage: 0.5},
		})
	}
	return definition
}

// fullPublication returns a publication with content of every kind.
func fullPublication(definition *route.Definition) discovery.Publication {
	var p discovery.Publication
	p.Cursor = discovery.Cursor{Publisher: "node-1", Generation: 4}
	p.Revision, p.Age = 77, 300*time.Millisecond
	p.Table = definition
	p.Servers = []discovery.Server{{ID: "s", Service: "shard-0", Address: "10.0.0.1:1", Slots: 2, State: discovery.Draining}}
	p.Nodes = []discovery.Node{{ID: "n", Address: "10.0.0.2:1", Capacity: 0.8, Busy: true}}
	return p
}

// A fetched publication must equal the published one, whether compressed or not, and the publisher must
// receive the request as it was sent.
func TestPublicationRoundTrip(t *testing.T) {
	for name, routes := range map[string]int{"short": 1, "long, compressed": 1500} {
		t.Run(name, func(t *testing.T) {
			definition := largeTable(routes, 90)
			p := &publisher{publication: fullPublication(&definition)}
			address, bytes := startServer(t, p)
			client := relay.NewClient(nil)
			defer client.Close()
			request := discovery.PublicationRequest{
				Known: discovery.Cursor{Publisher: "node-1", Generation: 3}, Position: discovery.Position{Epoch: 2, Revision: 70}, MaxAge: 1600 * time.Millisecond,
			}
			got, err := client.Fetch(t.Context(), address, request)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, p.publication) {
				t.Error("the fetched publication differs from the published one")
			}
			if p.lastRequest != request {
				t.Errorf("the publisher received request %v, want %v", p.lastRequest, request)
			}
			if bytes.Load() > 40_000 {
				t.Errorf("body of %d bytes for %d routes, want at most 40000", bytes.Load(), routes)
			}
		})
	}
}

// The cached content must be that of the publication's generation and of the generation since which
// changes were requested.
func TestCachedContentMatchesGeneration(t *testing.T) {
	definition := largeTable(200, 20)
	p := &publisher{publication: fullPublication(&definition)}
	address, _ := startServer(t, p)
	client := relay.NewClient(nil)
	defer client.Close()
	fetch := func() discovery.Publication {
		got, err := client.Fetch(t.Context(), address, discovery.PublicationRequest{})
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	fetch()
	p.publication.Age, p.publication.Revision = time.Second, 80
	if got := fetch(); got.Age != time.Second || got.Revision != 80 || got.Table == nil {
		t.Errorf("age %s and revision %d in the second response, want 1s and 80 with a table", got.Age, got.Revision)
	}
	p.publication.Since, p.publication.Table = 3, nil
	if got := fetch(); got.Table != nil || got.Since != 3 {
		t.Error("the full content was returned for the changes since a generation")
	}
	p.publication.Generation, p.publication.GoneServers = 5, []string{"s"}
	if got := fetch(); len(got.GoneServers) != 1 {
		t.Error("the content of the previous generation was returned for the next one")
	}
	p.publication.Generation, p.publication.GoneServers = 4, nil
	if got := fetch(); len(got.GoneServers) != 0 || got.Generation != 4 {
		t.Error("the content of the next generation was returned for an earlier one")
	}
}

// Responses without a publication, header or valid body must give an error.
func TestUnusableResponses(t *testing.T) {
	client := relay.NewClient(nil)
	defer client.Close()
	unavailable, _ := startServer(t, &publisher{unavailable: true})
	if _, err := client.Fetch(t.Context(), unavailable, discovery.PublicationRequest{}); err == nil {
		t.Error("no error from a node without a publication")
	}
	for name, answer := range map[string]http.HandlerFunc{
		"no state":   func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("{}")) },
		"no content": func(writer http.ResponseWriter, _ *http.Request) { writer.Header().Set("Banksail-Publication", "{}") },
		"wrong bytes": func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Banksail-Publication", "{}")
			writer.Header().Set("Content-Encoding", "gzip")
			_, _ = writer.Write([]byte("{}"))
		},
	} {
		server := httptest.NewServer(answer)
		if _, err := client.Fetch(t.Context(), strings.TrimPrefix(server.URL, "http://"), discovery.PublicationRequest{}); err == nil {
			t.Errorf("%s: no error", name)
		}
		server.Close()
	}
}
