package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/profile"
)

const stride = emulator.DefaultItemStride

func newPart(t *testing.T, requestID string, keys coverage.Range, snapshot uint64) part {
	t.Helper()
	body, err := json.Marshal(emulator.Result{RequestID: requestID, Items: emulator.Items(keys, snapshot, stride)})
	if err != nil {
		t.Fatal(err)
	}
	return part{Range: keys, Body: body}
}

func TestCheckAnswer(t *testing.T) {
	low, high := coverage.Range{Start: 0, End: 4096}, coverage.Range{Start: 4096, End: 8192}
	half, whole := 0.5, 1.0
	complete := func() *answer {
		return &answer{
			RequestID: "r", Snapshot: 1, Coverage: &whole, Complete: true,
			Parts: []part{newPart(t, "r", low, 1), newPart(t, "r", high, 1)},
		}
	}
	cases := []struct {
		name   string
		change func(*answer)
		right  bool
	}{
		{name: "complete", change: func(*answer) {}, right: true},
		{name: "partial", change: func(a *answer) {
			a.Parts, a.Missing, a.Coverage, a.Complete = a.Parts[:1], []coverage.Range{high}, &half, false
		}, right: true},
		{name: "another request's answer", change: func(a *answer) { a.RequestID = "other" }},
		{name: "another request's part", change: func(a *answer) { a.Parts[0] = newPart(t, "other", low, 1) }},
		{name: "mixed snapshots", change: func(a *answer) { a.Parts[1] = newPart(t, "r", high, 2) }},
		{name: "items missing", change: func(a *answer) { a.Parts[1].Body = newPart(t, "r", low, 1).Body }},
		{name: "same range twice", change: func(a *answer) { a.Parts[1] = a.Parts[0] }},
		{name: "coverage overstated", change: func(a *answer) { a.Parts, a.Missing = a.Parts[:1], []coverage.Range{high} }},
		{name: "coverage missing", change: func(a *answer) { a.Coverage = nil }},
		{name: "partial stated as complete", change: func(a *answer) {
			a.Parts, a.Missing, a.Coverage = a.Parts[:1], []coverage.Range{high}, &half
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			read := complete()
			test.change(read)
			err := checkAnswer(read, "r", stride)
			if test.right != (err == nil) || err != nil && !errors.Is(err, errWrongAnswer) {
				t.Errorf("got error %v, want a correct answer: %v", err, test.right)
			}
		})
	}
}

// stubNode is an in-memory transport. It returns complete answers after 5 ms, and
// refusals for the batch class.
type stubNode struct{ t *testing.T }

func (n stubNode) RoundTrip(request *http.Request) (*http.Response, error) {
	asked := query{}
	if err := json.NewDecoder(request.Body).Decode(&asked); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Millisecond)
	recorder := httptest.NewRecorder()
	if asked.Class == profile.Batch {
		recorder.WriteHeader(http.StatusServiceUnavailable)
		_, _ = recorder.WriteString(`{"execution":"not_run","reason":"overload"}`)
		return recorder.Result(), nil
	}
	whole := 1.0
	err := json.NewEncoder(recorder).Encode(answer{
		RequestID: asked.RequestID, Snapshot: 1, Coverage: &whole, Complete: true,
		Parts: []part{newPart(n.t, asked.RequestID, coverage.Range{Start: 0, End: 4096}, 1)},
	})
	return recorder.Result(), err
}

func TestRunCountsAnswersAndRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		report, err := Run(t.Context(), Options{
			Address: "10.0.0.1:80", Rate: 1000, Duration: 2 * time.Second, MaxInFlight: 100, Transport: stubNode{t: t},
			Mix: []profile.QueryKind{
				{Service: "s", Class: profile.Urgent, Fraction: 1},
				{Service: "s", Class: profile.Batch, Fraction: 1},
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		urgent, batch := report.Stats()[0], report.Stats()[1]
		if urgent.Answered < 900 || urgent.Answered != urgent.Sent || urgent.Wrong != 0 || urgent.latencyMillis(100) > 5.01 {
			t.Errorf("unexpected results of class urgent: %+v", urgent)
		}
		if batch.Sent < 900 || batch.Refused["not_run/overload"] != batch.Sent {
			t.Errorf("unexpected results of class batch: %+v", batch)
		}
		text := bytes.Buffer{}
		if err := report.WriteTable(&text); err != nil || !strings.Contains(text.String(), "not_run/overload") {
			t.Errorf("got table %q and error %v", text.String(), err)
		}
	})
}

func TestOptionsAreValidated(t *testing.T) {
	valid := Options{Address: "127.0.0.1:1", Mix: []profile.QueryKind{{Fraction: 1}}}.withDefaults()
	cases := []struct {
		name   string
		change func(*Options)
	}{
		{"no address", func(o *Options) { o.Address = "" }},
		{"no mix", func(o *Options) { o.Mix = nil }},
		{"journal without deadline", func(o *Options) { o.Journal = history.NewJournal(io.Discard) }},
		{"weightless share", func(o *Options) { o.Mix = []profile.QueryKind{{}} }},
		{"negative rate", func(o *Options) { o.Rate = -1 }},
		{"long duration", func(o *Options) { o.Duration = 2 * time.Hour }},
		{"no flight", func(o *Options) { o.MaxInFlight = -1 }},
		{"coverage over one", func(o *Options) { o.MinimumCoverage = 1.1 }},
	}
	if err := valid.Validate(); err != nil {
		t.Error(err)
	}
	for _, test := range cases {
		options := valid
		test.change(&options)
		if err := options.Validate(); !errors.Is(err, ErrInvalidOptions) {
			t.Errorf("%s: got error %v, want ErrInvalidOptions", test.name, err)
		}
	}
}

// droppingNode reads the first call of every request and then fails it; it answers
// later calls.
type droppingNode struct {
	stubNode
	mutex sync.Mutex
	seen  map[string]bool
}

func (n *droppingNode) RoundTrip(request *http.Request) (*http.Response, error) {
	data, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	asked := query{}
	if err := json.Unmarshal(data, &asked); err != nil {
		return nil, err
	}
	n.mutex.Lock()
	again := n.seen[asked.RequestID]
	n.seen[asked.RequestID] = true
	n.mutex.Unlock()
	if !again {
		return nil, io.ErrUnexpectedEOF
	}
	request.Body = io.NopCloser(bytes.NewReader(data))
	return n.stubNode.RoundTrip(request)
}

func TestUnansweredQueriesAreRetriedAndJournaled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written bytes.Buffer
		journal := history.NewJournal(&written)
		report, err := Run(t.Context(), Options{
			Address: "10.0.0.1:80", RetryAddresses: []string{"10.0.0.1:80", "10.0.0.2:80"}, Journal: journal,
			Rate: 100, Duration: time.Second, MaxInFlight: 100, Deadline: time.Second,
			Transport: &droppingNode{stubNode: stubNode{t: t}, seen: make(map[string]bool)},
			Mix: []profile.QueryKind{
				{Service: "once", Class: profile.Normal, Fraction: 1},
				{Service: "any", Class: profile.Urgent, Fraction: 1, Repeatable: true},
			},
		})
		if err != nil || journal.Flush() != nil {
			t.Fatal(err)
		}
		once, repeatable := report.Stats()[0], report.Stats()[1]
		if once.Sent == 0 || once.Answered != once.Sent || repeatable.Failed != repeatable.Sent {
			t.Errorf("unexpected results: non-repeatable %+v, repeatable %+v", once, repeatable)
		}
		entries, err := history.ReadJournal(&written)
		if err != nil {
			t.Fatal(err)
		}
		kinds := make(map[history.AnswerKind]int)
		nodes := make(map[string]int)
		for _, entry := range entries {
			if entry.Answer != nil {
				kinds[entry.Answer.Kind]++
			}
			if entry.Call != nil {
				nodes[entry.Call.Node]++
			}
		}
		if kinds[history.AnswerResult] != once.Sent || kinds[history.AnswerBroken] != once.Sent+repeatable.Sent {
			t.Errorf("unexpected answer kinds in the journal: %v", kinds)
		}
		if nodes["10.0.0.2:80"] == 0 || nodes["10.0.0.1:80"] <= once.Sent {
			t.Errorf("unexpected calls by node in the journal: %v", nodes)
		}
	})
}
