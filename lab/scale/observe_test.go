package scale

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestObserveNodes(t *testing.T) {
	asked := 0
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		asked++
		_, _ = fmt.Fprintf(writer, "# TYPE %s counter\n%s{class=\"a\"} %d\n%s{class=\"b\"} 1\n", sendsMetric, sendsMetric, 10*asked, sendsMetric)
		_, _ = fmt.Fprintf(writer, "# TYPE %s gauge\n%s 5e7\n", memoryMetric, memoryMetric)
	}))
	defer server.Close()
	readings, err := ObserveNodes(t.Context(), []string{strings.TrimPrefix(server.URL, "http://")}, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if len(readings) != 1 || readings[0].SubRequests != 10 || readings[0].Memory != 5e7 {
		t.Errorf("readings %+v", readings)
	}
	var table bytes.Buffer
	if err := WriteReadings(&table, readings); err != nil || !strings.Contains(table.String(), "50") {
		t.Errorf("table %q: %v", table.String(), err)
	}
}

func TestObserveNodesWithoutMetrics(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	_, err := ObserveNodes(t.Context(), []string{strings.TrimPrefix(server.URL, "http://")}, 0)
	if !errors.Is(err, ErrMetrics) {
		t.Errorf("error %v, want %v", err, ErrMetrics)
	}
}
