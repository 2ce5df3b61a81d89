// Package replay records the events and actions of one node's dispatcher in a trace, and
// replays a trace to verify that a dispatcher still takes the same actions, byte for
// byte.
//
// A trace is a file of JSON lines. The first line is the Header. Every other line is a
// Record: one event (an arrival, a reply after its service time, a failure, a change of
// configuration or of a server's state) and the actions that the dispatcher returned for
// it, which are the actions expected in a replay.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/lab/experiment"
)

// Errors of traces.
var (
	// ErrInvalidTrace is returned for input that is not a valid trace. The error
	// text names the line where there is one.
	ErrInvalidTrace = errors.New("replay: invalid trace")
	// ErrUnsupportedVersion is returned for a trace of a version other than Version.
	ErrUnsupportedVersion = errors.New("replay: unsupported version")
)

// Format and Version identify the trace format in the header of each trace.
const (
	Format  = "banksail-trace"
	Version = 1
)

// Limits of the input.
const (
	// MaximumLineBytes is the maximum length of a line.
	MaximumLineBytes = 1 << 20
	// MaximumRecords is the maximum number of records in a trace.
	MaximumRecords = 1 << 20
)

// Header is the first line of a trace.
type Header struct {
	Format  string `json:"format"`
	Version int    `json:"version"`
	// Description describes the trace for human readers.
	Description string `json:"about,omitempty"`
	// Seed, Zone and Options configure the dispatcher.
	Seed    uint64            `json:"seed"`
	Zone    string            `json:"zone"`
	Options experiment.Tuning `json:"options"`
}

// Record is one event and the actions that the dispatcher returned for it.
type Record struct {
	// At is the time of the event since the start of the run.
	At    time.Duration `json:"at_ns"`
	Event Event         `json:"event"`
	// Actions is a JSON array of Action.
	Actions json.RawMessage `json:"actions"`
}

// Event is one event passed to a dispatcher. Exactly one field is set.
type Event struct {
	QueryArrived   *dispatch.QueryArrived   `json:"arrived,omitempty"`
	CallerGone     *dispatch.CallerGone     `json:"caller_gone,omitempty"`
	AttemptReplied *dispatch.AttemptReplied `json:"replied,omitempty"`
	AttemptFailed  *dispatch.AttemptFailed  `json:"failed,omitempty"`
	TimerFired     *dispatch.TimerFired     `json:"woken,omitempty"`
	Configured     *dispatch.Configured     `json:"configured,omitempty"`
	ServerChanged  *dispatch.ServerChanged  `json:"server_changed,omitempty"`
	ServerReported *dispatch.ServerReported `json:"observed,omitempty"`
	NodesChanged   *dispatch.NodesChanged   `json:"nodes_changed,omitempty"`
	Stopping       *dispatch.Stopping       `json:"stopping,omitempty"`
}

// wrapEvent converts a dispatcher's event to an Event.
func wrapEvent(event dispatch.Event) (Event, error) {
	switch typed := event.(type) {
	case dispatch.QueryArrived:
		return Event{QueryArrived: &typed}, nil
	case dispatch.CallerGone:
		return Event{CallerGone: &typed}, nil
	case dispatch.AttemptReplied:
		return Event{AttemptReplied: &typed}, nil
	case dispatch.AttemptFailed:
		return Event{AttemptFailed: &typed}, nil
	case dispatch.TimerFired:
		return Event{TimerFired: &typed}, nil
	case dispatch.Configured:
		return Event{Configured: &typed}, nil
	case dispatch.ServerChanged:
		return Event{ServerChanged: &typed}, nil
	case dispatch.ServerReported:
		return Event{ServerReported: &typed}, nil
	case dispatch.NodesChanged:
		return Event{NodesChanged: &typed}, nil
	case dispatch.Stopping:
		return Event{Stopping: &typed}, nil
	}
	return Event{}, fmt.Errorf("%w: unknown event %T", ErrInvalidTrace, event)
}

// Value returns the dispatcher's event, or ErrInvalidTrace unless exactly one field is
// set.
func (e Event) Value() (dispatch.Event, error) {
	var set []dispatch.Event
	appendIfSet(&set, e.QueryArrived)
	appendIfSet(&set, e.CallerGone)
	appendIfSet(&set, e.AttemptReplied)
	appendIfSet(&set, e.AttemptFailed)
	appendIfSet(&set, e.TimerFired)
	appendIfSet(&set, e.Configured)
	appendIfSet(&set, e.ServerChanged)
	appendIfSet(&set, e.ServerReported)
	appendIfSet(&set, e.NodesChanged)
	appendIfSet(&set, e.Stopping)
	if len(set) != 1 {
		return nil, fmt.Errorf("%w: %d events in a record, want 1", ErrInvalidTrace, len(set))
	}
	return set[0], nil
}

func appendIfSet[T dispatch.Event](set *[]dispatch.Event, event *T) {
	if event != nil {
		*set = append(*set, *event)
	}
}

// Action is one action returned by a dispatcher. Exactly one field is set.
type Action struct {
	Send     *dispatch.Send     `json:"send,omitempty"`
	Cancel   *dispatch.Cancel   `json:"cancel,omitempty"`
	Finish   *dispatch.Finish   `json:"finish,omitempty"`
	SetTimer *dispatch.SetTimer `json:"wake,omitempty"`
}

// encodeActions encodes a dispatcher's actions as a JSON array of Action.
func encodeActions(actions []dispatch.Action) (json.RawMessage, error) {
	wrapped := make([]Action, 0, len(actions))
	for _, action := range actions {
		switch typed := action.(type) {
		case dispatch.Send:
			wrapped = append(wrapped, Action{Send: &typed})
		case dispatch.Cancel:
			wrapped = append(wrapped, Action{Cancel: &typed})
		case dispatch.Finish:
			wrapped = append(wrapped, Action{Finish: &typed})
		case dispatch.SetTimer:
			wrapped = append(wrapped, Action{SetTimer: &typed})
		default:
			return nil, fmt.Errorf("%w: unknown action %T", ErrInvalidTrace, action)
		}
	}
	return json.Marshal(wrapped)
}

// Reader reads a trace. It must not be used concurrently.
type Reader struct {
	header   Header
	lines    *bufio.Scanner
	line     int
	records  int
	lastTime time.Duration
}

// NewReader reads and checks the header and returns a Reader for the records. It returns
// ErrInvalidTrace or ErrUnsupportedVersion.
func NewReader(in io.Reader) (*Reader, error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, MaximumLineBytes)
	reader := &Reader{lines: lines}
	if err := reader.decodeLine(&reader.header); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("%w: no header line", ErrInvalidTrace)
		}
		return nil, err
	}
	if reader.header.Format != Format {
		return nil, fmt.Errorf("%w: line 1: format %q", ErrInvalidTrace, reader.header.Format)
	}
	if reader.header.Version != Version {
		return nil, fmt.Errorf("%w: %d, want %d", ErrUnsupportedVersion, reader.header.Version, Version)
	}
	return reader, nil
}

// Header returns the trace's header.
func (r *Reader) Header() Header { return r.header }

// Line returns the number of the last line read, counted from 1.
func (r *Reader) Line() int { return r.line }

// Next returns the next record, or io.EOF after the last one. It returns ErrInvalidTrace
// for a malformed line, too many records, or a time before that of the previous record.
func (r *Reader) Next() (Record, error) {
	var record Record
	if err := r.decodeLine(&record); err != nil {
		return Record{}, err
	}
	r.records++
	switch {
	case r.records > MaximumRecords:
		return Record{}, fmt.Errorf("%w: more than %d records", ErrInvalidTrace, MaximumRecords)
	case record.At < r.lastTime:
		return Record{}, fmt.Errorf("%w: line %d: at_ns is less than in the previous record", ErrInvalidTrace, r.line)
	}
	r.lastTime = record.At
	return record, nil
}

func (r *Reader) decodeLine(value any) error {
	if !r.lines.Scan() {
		if err := r.lines.Err(); err != nil {
			return fmt.Errorf("%w: line %d: %w", ErrInvalidTrace, r.line+1, err)
		}
		return io.EOF
	}
	r.line++
	decoder := json.NewDecoder(bytes.NewReader(r.lines.Bytes()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return fmt.Errorf("%w: line %d: %w", ErrInvalidTrace, r.line, err)
	}
	if decoder.More() {
		return fmt.Errorf("%w: line %d: more than one JSON value", ErrInvalidTrace, r.line)
	}
	return nil
}
