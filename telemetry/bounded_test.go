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

// If the output is not read, lines are dropped but writers do not block.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	reader, output := io.Pipe()
	writer := telemetry.NewBoundedWriter(output, 1_000_000, 1_000_000_000)
	finished := make(chan struct{})
	const lines = 10_000
	go func() {
		defer close(finished)
		for range lines {
			if count, err := writer.Write([]byte("line\n")); count != 5 || err != nil {
				t.Errorf("Write returned %d, %v", count, err)
			}
		}
	}()
	select {
	case <-finished:
	case <-time.After(30 * time.Second):
		t.Fatal("Write blocked on the output")
	}
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
}

// lockedBuffer is a buffer that is safe for concurrent use.
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
			t.Errorf("%s: %d lines were written and %d dropped", name, got, writer.DroppedLines())
		}
	}
}

// CloseWithTimeout writes all buffered lines, and returns at the limit if the output blocks.
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
		t.Error("CloseWithTimeout reported success on a blocked output")
	}
	_ = reader.Close()
}
