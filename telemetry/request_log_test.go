package telemetry_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/banksail/banksail/telemetry"
)

func TestRequestLogIsSortedByTime(t *testing.T) {
	first := strings.NewReader(`   1.5 node-1 {"node":"node-1","request_id":"a","result":"failed","time":"2026-01-01T00:00:02Z","message":"request answered"}
{"node":"node-1","request_id":"b","time":"2026-01-01T00:00:01Z","message":"request answered"}
no line of ours
{"node":"node-1","request_id":"a","resu`)
	second := strings.NewReader(`{"node":"node-2","request_id":"a","status":503,"time":"2026-01-01T00:00:01Z","message":"request rejected"}` + "\n")
	lines, unreadable, err := telemetry.ReadRequestLog("a", first, second)
	if err != nil || unreadable != 1 || len(lines) != 2 {
		t.Fatalf("%v, %d unreadable, %v", lines, unreadable, err)
	}
	if lines[0].Node != "node-2" || lines[1].Node != "node-1" {
		t.Errorf("order: %s, %s", lines[0].Node, lines[1].Node)
	}
}

// Text from a caller cannot forge a log line of its own.
func TestCallersCannotForgeLogLines(t *testing.T) {
	var output bytes.Buffer
	logger, err := telemetry.NewLogger(&output, "info", "node-1")
	if err != nil {
		t.Fatal(err)
	}
	evil := "x\"}\n{\"request_id\":\"a\",\"message\":\"forged\"}\r\n\x1b[31m"
	logger.Info().Str(telemetry.FieldRequestID, evil).Msg("request answered")
	if strings.Count(output.String(), "\n") != 1 || strings.ContainsAny(output.String(), "\r\x1b") {
		t.Errorf("%q", output.String())
	}
	lines, _, err := telemetry.ReadRequestLog("a", &output)
	if err != nil || len(lines) != 0 {
		t.Errorf("forged: %v %v", lines, err)
	}
}
