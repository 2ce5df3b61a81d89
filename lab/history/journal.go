package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/banksail/banksail/internal/strictjson"
)

// maximumLineBytes is the maximum length of a journal line.
const maximumLineBytes = 4 << 20

// ErrInvalidJournal is returned for a journal that can't be read or joined. The
// error text names the line or event.
var ErrInvalidJournal = errors.New("history: invalid journal")

// Causes of ErrInvalidJournal in events.
var (
	errUnknownEvent    = errors.New("unknown event kind")
	errNoMatchingStart = errors.New("no earlier event that it ends")
)

// Entry is one line of a journal, a file of JSON lines written by one process of
// a run. Exactly one field is set. Times count from the Unix epoch, so that
// journals of several processes on one machine can be joined.
type Entry struct {
	KeySpace     *KeySpace     `json:"key_space,omitempty"`
	Call         *Call         `json:"call,omitempty"`
	Answer       *Answer       `json:"answer,omitempty"`
	Attempt      *Attempt      `json:"attempt,omitempty"`
	Accepted     *Accepted     `json:"accepted,omitempty"`
	InForce      *InForce      `json:"in_force,omitempty"`
	Confirmation *Confirmation `json:"confirmation,omitempty"`
	Event        *Event        `json:"event,omitempty"`
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventNodeStarted       EventKind = "node_started"
	EventNodeStopRequested EventKind = "node_stop_asked"
	EventNodeEnded         EventKind = "node_ended"
	EventNodeKilled        EventKind = "node_killed"
	EventNodeFrozen        EventKind = "node_frozen"
	EventNodeThawed        EventKind = "node_thawed"
	EventServerLeaving     EventKind = "server_leaving"
	EventServerReturned    EventKind = "server_returned"
	EventFaultsEnded       EventKind = "faults_ended"
)

// Event is a change in the state of a node, a server or the whole run.
type Event struct {
	Kind EventKind `json:"kind"`
	// Subject names the node or server; empty for events of the whole run.
	Subject string `json:"subject,omitempty"`
	// Address is the caller address of a started node. Join attributes calls to
	// this address to the node.
	Address string        `json:"address,omitempty"`
	At      time.Duration `json:"at_ns"`
}

// Journal writes entries. It is safe for concurrent use.
type Journal struct {
	// mutex guards the fields below. Invariant: only complete lines are appended
	// to the buffer.
	mutex  sync.Mutex
	buffer *bufio.Writer
	calls  CallID
	// failure is the first error from encoding or writing an entry.
	failure error
}

// NewJournal returns a Journal that writes to writer.
func NewJournal(writer io.Writer) *Journal {
	return &Journal{buffer: bufio.NewWriter(writer)}
}

// Now returns the time since the Unix epoch by the wall clock, which all processes
// of a machine share. Monotonic clocks that each process anchors at its own start
// would drift apart.
func (j *Journal) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Call writes a call with the next ID and the current time, and returns the ID.
func (j *Journal) Call(call Call) CallID {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.calls++
	call.ID = j.calls
	call.At = j.Now()
	j.write(Entry{Call: &call})
	return call.ID
}

// Answer writes the answer to a call with the current time.
func (j *Journal) Answer(answer Answer) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	answer.At = j.Now()
	j.write(Entry{Answer: &answer})
}

// Write writes an entry without changing its time.
func (j *Journal) Write(entry Entry) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.write(entry)
}

// write appends an entry as a JSON line. The caller must hold the mutex.
func (j *Journal) write(entry Entry) {
	line, err := json.Marshal(entry)
	if err == nil {
		_, err = j.buffer.Write(append(line, '\n'))
	}
	if j.failure == nil {
		j.failure = err
	}
}

// Flush writes buffered lines to the writer. It returns the first error of this
// and all earlier writes.
func (j *Journal) Flush() error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return errors.Join(j.failure, j.buffer.Flush())
}

// ReadJournal reads all entries of a journal. It returns ErrInvalidJournal if a
// line is malformed, too long, or does not set exactly one field.
func ReadJournal(reader io.Reader) ([]Entry, error) {
	lines := bufio.NewScanner(reader)
	lines.Buffer(nil, maximumLineBytes)
	var entries []Entry
	for lines.Scan() {
		var entry Entry
		if err := strictjson.Unmarshal(lines.Bytes(), strictjson.Limits{Bytes: maximumLineBytes}, &entry); err != nil {
			return nil, fmt.Errorf("%w: line %d: %w", ErrInvalidJournal, len(entries)+1, err)
		}
		if entry.countFields() != 1 {
			return nil, fmt.Errorf("%w: line %d: %d fields are set", ErrInvalidJournal, len(entries)+1, entry.countFields())
		}
		entries = append(entries, entry)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%w: after line %d: %w", ErrInvalidJournal, len(entries), err)
	}
	return entries, nil
}

// countFields returns the number of fields that are set.
func (e Entry) countFields() int {
	count := 0
	for _, set := range []bool{
		e.KeySpace != nil, e.Call != nil, e.Answer != nil, e.Attempt != nil,
		e.Accepted != nil, e.InForce != nil, e.Confirmation != nil, e.Event != nil,
	} {
		if set {
			count++
		}
	}
	return count
}
