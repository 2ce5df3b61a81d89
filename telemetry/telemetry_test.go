package telemetry

import (
	"bytes"
	"errors"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/banksail/banksail/dispatch"
)

func TestExplanationsKeepLatest(t *testing.T) {
	const capacity, count = 4, 10
	explanations := NewExplanations(ExplanationsOptions{Requests: capacity})
	for index := range count {
		explanations.Add(Explanation{RequestID: strconv.Itoa(index)})
	}
	for index := range count {
		_, found := explanations.Find(strconv.Itoa(index))
		if kept := index >= count-capacity; found != kept {
			t.Errorf("request %d: found %t, expected %t", index, found, kept)
		}
	}
	if len(explanations.byRequest) != capacity {
		t.Errorf("byRequest has %d entries", len(explanations.byRequest))
	}
}

func TestExplanationsStayWithinByteLimit(t *testing.T) {
	const limit, steps, count = 64 << 10, 256, 100
	explanations := NewExplanations(ExplanationsOptions{Bytes: limit})
	for index := range count {
		explanations.Add(Explanation{RequestID: strconv.Itoa(index), Steps: make([]dispatch.Step, steps)})
		if explanations.bytes > limit {
			t.Fatalf("%d bytes after %d explanations", explanations.bytes, index+1)
		}
		if _, found := explanations.Find(strconv.Itoa(index)); !found {
			t.Fatalf("the newest of %d explanations is not found", index+1)
		}
	}
	if len(explanations.byRequest) != explanations.count || explanations.count >= count {
		t.Errorf("%d explanations, %d in the index", explanations.count, len(explanations.byRequest))
	}
	explanations.Add(Explanation{RequestID: "large", Steps: make([]dispatch.Step, limit)})
	if _, found := explanations.Find("large"); !found || explanations.count != 1 {
		t.Errorf("%d explanations beside a large one", explanations.count)
	}
}

func TestExplanationOfRepeatedRequestIsNewest(t *testing.T) {
	explanations := NewExplanations(ExplanationsOptions{Requests: 2})
	explanations.Add(Explanation{RequestID: "r", Reason: "first"})
	explanations.Add(Explanation{RequestID: "r", Reason: "second"})
	explanations.Add(Explanation{RequestID: "other"})
	if got, found := explanations.Find("r"); !found || got.Reason != "second" {
		t.Errorf("got %+v, %t", got, found)
	}
	explanations.Add(Explanation{RequestID: "third"})
	if _, found := explanations.Find("r"); found {
		t.Error("found an explanation that was evicted")
	}
}

func TestLoggerAppliesLevel(t *testing.T) {
	var output bytes.Buffer
	logger, err := NewLogger(&output, "warn", "node-1")
	if err != nil {
		t.Fatal(err)
	}
	logger.Info().Msg("quiet")
	logger.Warn().Str(FieldRequestID, "r-1").Msg("loud")
	if text := output.String(); strings.Contains(text, "quiet") || !strings.Contains(text, `"node":"node-1"`) {
		t.Errorf("log %s", text)
	}
	for _, level := range []string{"", "loud"} {
		if _, err := NewLogger(&output, level, "node-1"); !errors.Is(err, ErrUnknownLevel) {
			t.Errorf("level %q: %v", level, err)
		}
	}
}

// Log times need milliseconds: limits of a few seconds cannot be checked with whole seconds.
func TestLogTimesHaveMilliseconds(t *testing.T) {
	var output bytes.Buffer
	logger, err := NewLogger(&output, "info", "node-1")
	if err != nil {
		t.Fatal(err)
	}
	logger.Info().Msg("line")
	if !regexp.MustCompile(`"time":"[0-9-]+T[0-9:]+\.[0-9]{3}(Z|[+-])`).Match(output.Bytes()) {
		t.Errorf("log %s", output.String())
	}
}

func TestNodesHaveSeparateMetrics(t *testing.T) {
	first, second := NewMetrics(), NewMetrics()
	first.Revision.Set(7)
	second.RegisterGauge("members_live", "Nodes that membership knows as live.", func() float64 { return 3 })
	for metrics, expected := range map[*Metrics]string{
		first: "banksail_configuration_revision 7", second: "banksail_members_live 3",
	} {
		recorder := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
		if !strings.Contains(recorder.Body.String(), expected) {
			t.Errorf("no %q in %s", expected, recorder.Body)
		}
	}
}
