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

// pretender answers as a node would that has a version in force.
type pretender struct {
	inForce int
	// refuses says how it answers for routes that are there; zero is well.
	refuses int
	// silent are versions for whose routes it breaks off.
	silent map[int]bool
	// closed says that it refuses whatever comes.
	closed bool
}

// ServeHTTP implements http.Handler.
func (p *pretender) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	named, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, markerPrefix), "/")
	version, err := strconv.Atoi(named)
	switch {
	case p.closed:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case err != nil || version == neverWritten || version > p.inForce:
		writer.WriteHeader(http.StatusNotFound)
	case p.silent[version]:
		panic(http.ErrAbortHandler)
	case p.refuses != 0:
		writer.WriteHeader(p.refuses)
	}
}

// newProber returns the prober of a node that such a one stands for, with so many versions written.
func newProber(t *testing.T, stands *pretender, written int) *prober {
	t.Helper()
	const nodeHost = "127.201.7.1" // no soak's
	listener, err := net.Listen("tcp", net.JoinHostPort(nodeHost, strconv.Itoa(callersPort)))
	if err != nil {
		t.Fatal(err)
	}
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: stands}}
	server.Start()
	t.Cleanup(server.Close)
	n := &node{name: "node-1", host: nodeHost, process: new(process)}
	f := &fleet{version: written, recorder: history.NewRecorder(time.Now())}
	n.fleet = f
	return &prober{fleet: f, node: n, http: server.Client()}
}

// Versions 14 to 20 were judged to be late at a node, 13 in force up to 11.4 s. Its log has table 13
// at 7.2 s, 17 at 8.5 s and 21 at 9.3 s, and from 8.4 s on, every 150 ms, "marker-17" and then
// "marker-18", "refused", "no_server": all servers of the markers' service had ended. The judge took
// a refusal for no answer, and dropped with it what it had learned before in the same look.
func TestProbesSeeWhatIsInForce(t *testing.T) {
	const written = 20
	for what, test := range map[string]struct {
		node pretender
		want int // the newest version seen in force; zero is none
	}{
		"served":                       {node: pretender{inForce: 18}, want: 18},
		"no server is there":           {node: pretender{inForce: 18, refuses: http.StatusServiceUnavailable}, want: 18},
		"the server fails":             {node: pretender{inForce: 18, refuses: http.StatusBadGateway}, want: 18},
		"a table is held back":         {node: pretender{inForce: 13, refuses: http.StatusServiceUnavailable}, want: 13},
		"everything is refused":        {node: pretender{inForce: 18, closed: true}},
		"no answer for one of them":    {node: pretender{inForce: 18, silent: map[int]bool{18: true}}, want: 15},
		"the newest, without a server": {node: pretender{inForce: written, refuses: http.StatusServiceUnavailable}, want: written},
	} {
		t.Run(what, func(t *testing.T) {
			p := newProber(t, &test.node, written)
			for range 2 {
				p.look()
			}
			newest := 0
			for _, seen := range p.fleet.recorder.Finish().InForce {
				newest = max(newest, int(seen.Revision))
			}
			if newest != test.want {
				t.Errorf("version %d seen in force, want %d", newest, test.want)
			}
		})
	}
}

// A node that answered by a table and refuses everything then, as one that stops, tells nothing.
func TestRefusalsOfAllTellNothing(t *testing.T) {
	stands := &pretender{inForce: 5}
	p := newProber(t, stands, 5)
	p.look()
	stands.closed = true
	if is, known := p.inForce(6); known {
		t.Errorf("a version that is not in force: in force %v, known", is)
	}
	if p.reached != 5 {
		t.Errorf("version %d reached", p.reached)
	}
}
