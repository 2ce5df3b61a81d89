package telemetry

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// RequestLogLine is one line of a log that tells of a request.
type RequestLogLine struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Message string    `json:"message"`

	RequestID     string          `json:"request_id"`
	Route         string          `json:"route"`
	Result        string          `json:"result"`
	Status        int             `json:"status"`
	Reason        string          `json:"reason"`
	Version       uint64          `json:"version"`
	ViewAgeMillis float64         `json:"belief_age_ms"`
	Missing       int             `json:"missing"`
	Sends         int             `json:"sends"`
	Hedges        int             `json:"hedges"`
	Retries       int             `json:"retries"`
	ElapsedMillis float64         `json:"took_ms"`
	Attempts      []LoggedAttempt `json:"attempts"`
}

// LoggedAttempt is one attempt of a request, as its line tells it.
type LoggedAttempt struct {
	Kind        string  `json:"kind"`
	Service     string  `json:"service"`
	Server      string  `json:"server"`
	SentMillis  float64 `json:"sent_ms"`
	EndedMillis float64 `json:"ended_ms"`
	Outcome     string  `json:"end"`
	Slowness    float64 `json:"slowness"`
	InFlight    int     `json:"in_flight"`
}

// maxLineBytes bounds a line; a longer one is passed over.
const maxLineBytes = 1 << 20

// ReadRequestLog gathers the lines that tell of the request, in order of time. Text
// before a line's JSON is passed over, and so are lines that are cut or are not
// JSON, of which it returns the number.
func ReadRequestLog(requestID string, logs ...io.Reader) (lines []RequestLogLine, unreadable int, err error) {
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for scanner.Scan() {
			line, matches, ok := parseRequestLogLine(scanner.Bytes(), requestID)
			switch {
			case !ok:
				unreadable++
			case matches:
				lines = append(lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, unreadable, fmt.Errorf("telemetry: reading a log: %w", err)
		}
	}
	slices.SortStableFunc(lines, func(a, b RequestLogLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node))
	})
	return lines, unreadable, nil
}

// parseRequestLogLine reads one line; matches says that it tells of the request.
func parseRequestLogLine(text []byte, requestID string) (line RequestLogLine, matches, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line, false, true // is no line of ours
	}
	if json.Unmarshal(text[start:], &line) != nil {
		return line, false, !bytes.Contains(text, []byte(requestID))
	}
	return line, line.RequestID == requestID, true
}
