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

// RequestLogLine is a log line about a request. Durations are in milliseconds.
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

// LoggedAttempt is one attempt of a request in a RequestLogLine.
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

// maxLineBytes is the maximum length of a line in bytes. A longer line ends ReadRequestLog with an
// error.
const maxLineBytes = 1 << 20

// ReadRequestLog returns the log lines about a request, sorted by time. It skips text before a
// line's JSON and lines without JSON. Unreadable is the number of lines with truncated or
// malformed JSON that contain the request ID.
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

// parseRequestLogLine parses one line. Matches reports whether the line is about the request. It
// returns ok = false if the line contains the request ID but its JSON is malformed.
func parseRequestLogLine(text []byte, requestID string) (line RequestLogLine, matches, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line, false, true // not a log line of a node
	}
	if json.Unmarshal(text[start:], &line) != nil {
		return line, false, !bytes.Contains(text, []byte(requestID))
	}
	return line, line.RequestID == requestID, true
}
