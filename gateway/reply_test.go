package gateway

import (
	"net/http"
	"testing"
	"time"
)

// A Retry-After that is not a positive finite number is ignored; others are capped at maxRetryAfter.
func TestParseRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "0.25": 250 * time.Millisecond, "3": 3 * time.Second, "600": maxRetryAfter, "-1": 0, "soon": 0,
		"NaN": 0, "+Inf": 0, "-Inf": 0, "1e300": maxRetryAfter, "1e-300": 0,
	} {
		if got := parseRetryAfter(http.Header{"Retry-After": {value}}); got != want {
			t.Errorf("%q: %s, want %s", value, got, want)
		}
	}
}
