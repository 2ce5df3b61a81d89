package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"
)

// Bounds of a BoundedWriter.
const (
	// DefaultLinesPerSecond and DefaultBytesPerSecond are the ceilings of a log;
	// a burst of one second may go beyond them.
	DefaultLinesPerSecond = 200
	DefaultBytesPerSecond = 100_000
	// maxBufferedLines is the number of lines that wait for the output.
	maxBufferedLines = 512
)

// BoundedWriter writes lines in the background, within a ceiling of lines and
// bytes a second. A line over the ceiling is dropped and counted; so is one for
// which there is no room because the output blocks. Write never blocks.
type BoundedWriter struct {
	buffer  diode.Writer
	lines   *rate.Limiter
	bytes   *rate.Limiter
	dropped atomic.Uint64
}

// NewBoundedWriter returns a writer to the output; a ceiling that is not
// positive stands for its default.
func NewBoundedWriter(output io.Writer, linesPerSecond, bytesPerSecond int) *BoundedWriter {
	if linesPerSecond <= 0 {
		linesPerSecond = DefaultLinesPerSecond
	}
	if bytesPerSecond <= 0 {
		bytesPerSecond = DefaultBytesPerSecond
	}
	w := &BoundedWriter{
		lines: rate.NewLimiter(rate.Limit(linesPerSecond), linesPerSecond),
		bytes: rate.NewLimiter(rate.Limit(bytesPerSecond), bytesPerSecond),
	}
	w.buffer = diode.NewWriter(output, maxBufferedLines, 0, func(missed int) { w.dropped.Add(uint64(missed)) })
	return w
}

// Write implements io.Writer; it takes one line and always succeeds.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	now := time.Now()
	if !w.lines.AllowN(now, 1) || !w.bytes.AllowN(now, len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	return w.buffer.Write(line)
}

// DroppedLines counts the lines that were not written.
func (w *BoundedWriter) DroppedLines() uint64 { return w.dropped.Load() }

// Close writes what waits; it blocks as long as the output does.
func (w *BoundedWriter) Close() error { return w.buffer.Close() }

// CloseWithTimeout writes what waits, for the time given at most; flushed is whether all was
// written. An output that blocks must not hold up the end of a process, and without the
// writing its last lines, which tell why it ended, are lost: one of four stops under load
// went without its last line.
func (w *BoundedWriter) CloseWithTimeout(limit time.Duration) (flushed bool) {
	closed := make(chan error, 1)
	go func() { closed <- w.Close() }()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-closed:
		return err == nil
	case <-timer.C:
		return false
	}
}
