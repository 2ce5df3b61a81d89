package soak

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/banksail/banksail/lab/history"
)

// fakeNode answers like a node that has a configuration version in force.
type fakeNode struct {
	inForce int
	// rejectStatus is the status for routes that exist; zero means 200.
	rejectStatus int
	// silent holds versions whose marker routes abort the connection.
	silent map[int]bool
	// rejectAll makes the node reject every request.
	rejectAll bool
}

// ServeHTTP implements http.Handler.
func (p *fakeNode) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	versionText, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, markerPrefix), "/")
	version, err := strconv.Atoi(versionText)
	switch {
	case p.rejectAll:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case err != nil || version == unwrittenVersion || version > p.inForce:
		writer.WriteHeader(http.StatusNotFound)
	case p.silent[version]:
		panic(http.ErrAbortHandler)
	case p.rejectStatus != 0:
		writer.WriteHeader(p.rejectStatus)
	}
}

// newProber returns a prober of the fake node, with newestVersion as the newest configuration
// written.
func newProber(t *testing.T, fake *fakeNode, newestVersion int) *prober {
	t.Helper()
	const unusedHost = "127.201.7.1" // an address that no soak uses
	listener, err := net.Listen("tcp", net.JoinHostPort(unusedHost, strconv.Itoa(callersPort)))
	if err != nil {
		t.Fatal(err)
	}
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: fake}}
	server.Start()
	t.Cleanup(server.Close)
	n := &node{name: "node-1", host: unusedHost, process: new(process)}
	f := &fleet{version: newestVersion, recorder: history.NewRecorder(time.Now())}
	n.fleet = f
	return &prober{fleet: f, node: n, http: server.Client()}
}

// A rejection for want of a server shows that the route exists. When all servers of the markers'
// service had ended, a node with table 13 at 7.2 s, 17 at 8.5 s and 21 at 9.3 s rejected the
// requests for marker-17 and marker-18 with "no_server" every 150 ms from 8.4 s on. The prober took
// the rejections for no answer and discarded what it had learned in the same probe, so versions 14
// to 20 were reported as late, with 13 in force up to 11.4 s.
func TestProberFindsVersionInForce(t *testing.T) {
	const newestVersion = 20
	for name, test := range map[string]struct {
		node fakeNode
		want int // the newest version seen in force; zero means none
	}{
		"served":                       {node: fakeNode{inForce: 18}, want: 18},
		"no server is there":           {node: fakeNode{inForce: 18, rejectStatus: http.StatusServiceUnavailable}, want: 18},
		"the server fails":             {node: fakeNode{inForce: 18, rejectStatus: http.StatusBadGateway}, want: 18},
		"a table is held back":         {node: fakeNode{inForce: 13, rejectStatus: http.StatusServiceUnavailable}, want: 13},
		"everything is refused":        {node: fakeNode{inForce: 18, rejectAll: true}},
		"no answer for one of them":    {node: fakeNode{inForce: 18, silent: map[int]bool{18: true}}, want: 15},
		"the newest, without a server": {node: fakeNode{inForce: newestVersion, rejectStatus: http.StatusServiceUnavailable}, want: newestVersion},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProber(t, &test.node, newestVersion)
			for range 2 {
				p.probe()
			}
			newest := 0
			for _, observed := range p.fleet.recorder.Finish().InForce {
				newest = max(newest, int(observed.Revision))
			}
			if newest != test.want {
				t.Errorf("newest version seen in force is %d, want %d", newest, test.want)
			}
		})
	}
}

// A node that rejects everything after it answered from a table, such as one that is stopping,
// gives no information on its version.
func TestProberIgnoresNodeRejectingEverything(t *testing.T) {
	fake := &fakeNode{inForce: 5}
	p := newProber(t, fake, 5)
	p.probe()
	fake.rejectAll = true
	if active, known := p.inForce(6); known {
		t.Errorf("version 6, which is not in force, reported as in force: %v; want an inconclusive answer", active)
	}
	if p.newestInForce != 5 {
		t.Errorf("newest version in force is %d, want 5", p.newestInForce)
	}
}
