package telemetry_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/banksail/banksail/telemetry"
)

// An output that nobody reads costs lines, never the time of a writer.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	reader, output := io.Pipe()
	writer := telemetry.NewBoundedWriter(output, 1_000_000, 1_000_000_000)
	finished := make(chan struct{})
	const lines = 10_000
	go func() {
		defer close(finished)
		for range lines {
			if count, err := writer.Write([]byte("line\n")); count != 5 || err != nil {
				t.Errorf("%d, %v", count, err)
			}
		}
	}()
	select {
	case <-finished:
	case <-time.After(30 * time.Second):
		t.Fatal("a writer waits for the output")
	}
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
}

// lockedBuffer may be read while it is written.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) text() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

func TestLinesOverLimitAreDroppedAndCounted(t *testing.T) {
	for name, test := range map[string]struct{ lines, bytes int }{
		"lines": {lines: 10, bytes: 1_000_000},
		"bytes": {lines: 1_000_000, bytes: 50},
	} {
		output := &lockedBuffer{}
		writer := telemetry.NewBoundedWriter(output, test.lines, test.bytes)
		const written = 400
		for range written {
			_, _ = writer.Write([]byte("line\n"))
		}
		_ = writer.Close()
		got := strings.Count(output.text(), "line\n")
		if got < 10 || got > 100 || uint64(got)+writer.DroppedLines() != written {
			t.Errorf("%s: %d lines are written, %d dropped", name, got, writer.DroppedLines())
		}
	}
}

// What was written last is in the output once the writer is closed; an output that blocks
// holds the end up no longer than it may.
func TestCloseWithTimeoutWritesBufferedLines(t *testing.T) {
	const limit = 20 * time.Millisecond
	output := new(lockedBuffer)
	writer := telemetry.NewBoundedWriter(output, 1000, 1_000_000)
	for range 100 {
		_, _ = writer.Write([]byte("line\n"))
	}
	if flushed := writer.CloseWithTimeout(time.Minute); !flushed || strings.Count(output.text(), "line\n") != 100 {
		t.Errorf("flushed is %t, got %d lines, expected 100", flushed, strings.Count(output.text(), "line\n"))
	}
	reader, blocked := io.Pipe()
	writer = telemetry.NewBoundedWriter(blocked, 1000, 1_000_000)
	_, _ = writer.Write([]byte("line\n"))
	if writer.CloseWithTimeout(limit) {
		t.Error("an output that nobody reads has taken all")
	}
	_ = reader.Close()
}
