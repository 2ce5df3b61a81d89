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

// fakeNode answers as a node would that has a version in force.
type fakeNode struct {
	inForce int
	// rejectStatus says how it answers for routes that are there; zero is well.
	rejectStatus int
	// silent are versions for whose routes it breaks off.
	silent map[int]bool
	// rejectAll says that it refuses whatever comes.
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

// newProber returns the prober of a node that such a one stands for, with so many versions written.
func newProber(t *testing.T, fake *fakeNode, newestVersion int) *prober {
	t.Helper()
	const nodeHost = "127.201.7.1" // no soak's
	listener, err := net.Listen("tcp", net.JoinHostPort(nodeHost, strconv.Itoa(callersPort)))
	if err != nil {
		t.Fatal(err)
	}
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: fake}}
	server.Start()
	t.Cleanup(server.Close)
	n := &node{name: "node-1", host: nodeHost, process: new(process)}
	f := &fleet{version: newestVersion, recorder: history.NewRecorder(time.Now())}
	n.fleet = f
	return &prober{fleet: f, node: n, http: server.Client()}
}

// Versions 14 to 20 were judged to be late at a node, 13 in force up to 11.4 s. Its log has table 13
// at 7.2 s, 17 at 8.5 s and 21 at 9.3 s, and from 8.4 s on, every 150 ms, "marker-17" and then
// "marker-18", "refused", "no_server": all servers of the markers' service had ended. The judge took
// a refusal for no answer, and dropped with it what it had learned before in the same look.
func TestProberFindsVersionInForce(t *testing.T) {
	const newestVersion = 20
	for name, test := range map[string]struct {
		node fakeNode
		want int // the newest version seen in force; zero is none
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
				t.Errorf("version %d seen in force, want %d", newest, test.want)
			}
		})
	}
}

// A node that answered by a table and refuses everything then, as one that stops, tells nothing.
func TestProberIgnoresNodeRejectingEverything(t *testing.T) {
	fake := &fakeNode{inForce: 5}
	p := newProber(t, fake, 5)
	p.probe()
	fake.rejectAll = true
	if active, known := p.inForce(6); known {
		t.Errorf("a version that is not in force: in force %v, known", active)
	}
	if p.newestInForce != 5 {
		t.Errorf("version %d reached", p.newestInForce)
	}
}
