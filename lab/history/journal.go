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

// maximumLineBytes bounds one line of a journal.
const maximumLineBytes = 4 << 20

// ErrInvalidJournal is returned for a journal that can't be read or joined; the
// text tells where.
var ErrInvalidJournal = errors.New("history: invalid journal")

// Causes of ErrInvalidJournal among events.
var (
	errUnknownEvent    = errors.New("unknown kind of event")
	errNoMatchingStart = errors.New("nothing before it that it could end")
)

// Entry is one line of a journal, a file of JSON lines that one of several
// processes wrote; exactly one field is set. Its times count from the Unix
// epoch, so that journals of one machine can be joined.
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

// EventKind tells what happened to a process.
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

// Event is something that happened to a node, to a server, or to the whole run.
type Event struct {
	Kind EventKind `json:"kind"`
	// Subject names the node or server.
	Subject string `json:"subject,omitempty"`
	// Address is the caller address of a started node. Calls to the address
	// are calls to the node.
	Address string        `json:"address,omitempty"`
	At      time.Duration `json:"at_ns"`
}

// Journal writes entries; it may be used by several goroutines.
type Journal struct {
	// mutex guards the fields below. Invariant: the buffer holds whole lines.
	mutex  sync.Mutex
	buffer *bufio.Writer
	calls  CallID
	// failure is the first error of the writer.
	failure error
}

// NewJournal starts a journal.
func NewJournal(writer io.Writer) *Journal {
	return &Journal{buffer: bufio.NewWriter(writer)}
}

// Now is the time since the Unix epoch by the wall clock, which all processes
// of a machine share; clocks that each process anchors for itself drift apart.
func (j *Journal) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Call writes a call, giving it its ID and time.
func (j *Journal) Call(call Call) CallID {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.calls++
	call.ID = j.calls
	call.At = j.Now()
	j.write(Entry{Call: &call})
	return call.ID
}

// Answer writes the end of a call at the present time.
func (j *Journal) Answer(answer Answer) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	answer.At = j.Now()
	j.write(Entry{Answer: &answer})
}

// Write writes an entry with the time that it states.
func (j *Journal) Write(entry Entry) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.write(entry)
}

// write writes a line. The lock is held.
func (j *Journal) write(entry Entry) {
	line, err := json.Marshal(entry)
	if err == nil {
		_, err = j.buffer.Write(append(line, '\n'))
	}
	if j.failure == nil {
		j.failure = err
	}
}

// Flush hands all lines to the writer and returns the first error met.
func (j *Journal) Flush() error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return errors.Join(j.failure, j.buffer.Flush())
}

// ReadJournal reads the entries of a journal.
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

// countFields counts the fields that are set.
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
