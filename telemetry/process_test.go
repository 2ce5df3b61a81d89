package telemetry_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/banksail/banksail/telemetry"
)

func TestProcessMetricsAreAddedOnce(t *testing.T) {
	metrics := telemetry.NewMetrics()
	metrics.RegisterProcessMetrics()
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if count := strings.Count(recorder.Body.String(), "\nprocess_cpu_seconds_total "); count != 1 {
		t.Errorf("process_cpu_seconds_total occurs %d times, want once:\n%s", count, recorder.Body.String())
	}
}
