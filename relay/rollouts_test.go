package relay_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/banksail/banksail/relay"
	"github.com/banksail/banksail/relay/evidence"
	"github.com/banksail/banksail/rollout"
)

// reportRecorder records reports and halts every order in them.
type reportRecorder struct{ received []rollout.Report }

func (d *reportRecorder) ReceiveReports(reports []rollout.Report) (halts []relay.Halt) {
	d.received = append(d.received, reports...)
	for _, report := range reports {
		halts = append(halts, relay.Halt{Service: report.Service, Order: report.Order})
	}
	return halts
}

// startReportsServer serves the handler for reports.
func startReportsServer(t *testing.T, d *reportRecorder) (address string) {
	t.Helper()
	server := httptest.NewServer(relay.ReportsHandler(d))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func newClient(t *testing.T) *relay.Client {
	t.Helper()
	client := relay.NewClient(nil)
	t.Cleanup(client.Close)
	return client
}

// A report must be received as it was sent, and the response must list the orders to halt.
func TestReportsRoundTrip(t *testing.T) {
	d := new(reportRecorder)
	sent := []rollout.Report{
		{
			Node: "node-1", Process: "p", Service: "ledger", Order: 7, Moved: true, Remaining: 3,
			Target: []rollout.Cell{{Route: "one", Server: "s-1", Counts: rollout.Counts{Answers: 9, Failed: 2, Slow: 1}}},
			Before: []rollout.Cell{{Route: "one", Counts: rollout.Counts{Answers: 90, Failed: 1}}},
		},
		{Node: "node-1", Process: "p", Service: "other", Order: 8},
	}
	halts, err := newClient(t).Report(context.Background(), startReportsServer(t, d), sent)
	if err != nil {
		t.Fatal(err)
	}
	sent[1].Target, sent[1].Before = []rollout.Cell{}, []rollout.Cell{}
	if !reflect.DeepEqual(d.received, sent) {
		t.Errorf("received %+v, which differs from what was sent", d.received)
	}
	if want := []relay.Halt{{Service: "ledger", Order: 7}, {Service: "other", Order: 8}}; !reflect.DeepEqual(halts, want) {
		t.Errorf("halts %+v, want one for each report", halts)
	}
}

// Invalid or too long reports must be rejected with the name of the field, and none of them may be
// received.
func TestInvalidReportsAreRejected(t *testing.T) {
	long := strings.Repeat("x", 300)
	for field, message := range map[string]*evidence.Reports{
		"node":             {},
		"process":          {Node: "n", Process: long},
		"orders":           {Node: "n", Orders: make([]*evidence.OrderReport, 513)},
		"orders[0].target": {Node: "n", Orders: []*evidence.OrderReport{{Target: make([]*evidence.Cell, 129)}}},
		"orders[0].before": {Node: "n", Orders: []*evidence.OrderReport{{Before: make([]*evidence.Cell, 129)}}},
	} {
		d := new(reportRecorder)
		client := evidence.NewRolloutsProtobufClient("http://"+startReportsServer(t, d), http.DefaultClient)
		if _, err := client.Report(context.Background(), message); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v does not name the field", field, err)
		}
		if len(d.received) > 0 {
			t.Errorf("%s: received %+v, want nothing", field, d.received)
		}
	}
}

// Counts that no node can have seen must be limited, so that their sums don't overflow.
func TestCountsAreBounded(t *testing.T) {
	d := new(reportRecorder)
	client := evidence.NewRolloutsProtobufClient("http://"+startReportsServer(t, d), http.DefaultClient)
	cell := &evidence.Cell{Route: "r", Answers: 1<<32 - 1}
	_, err := client.Report(context.Background(), &evidence.Reports{Node: "n", Orders: []*evidence.OrderReport{{Target: []*evidence.Cell{cell}}}})
	if err != nil || d.received[0].Target[0].Answers != 1<<31-1 {
		t.Errorf("received %+v, error %v", d.received, err)
	}
}

// A decider that does not respond must cost no more than the time that the caller allows.
func TestReportWithoutResponse(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0") // never accepts a connection
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if _, err := newClient(t).Report(ctx, listener.Addr().String(), []rollout.Report{{Node: "n"}}); err == nil {
		t.Error("no error although nothing responded")
	}
	if halts, err := newClient(t).Report(context.Background(), "", nil); err != nil || halts != nil {
		t.Errorf("without reports: halts %v, error %v", halts, err)
	}
}
