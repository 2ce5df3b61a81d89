package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"
)

// Defaults and limits of a BoundedWriter.
const (
	// DefaultLinesPerSecond and DefaultBytesPerSecond are the default rate limits of a log. A
	// burst of up to one second's worth is allowed.
	DefaultLinesPerSecond = 200
	DefaultBytesPerSecond = 100_000
	// maxBufferedLines is the number of lines that are buffered for the output.
	maxBufferedLines = 512
)

// BoundedWriter writes lines in the background, with rate limits on lines and bytes per second.
// Lines over a limit are dropped and counted, and so are lines that do not fit in the buffer
// because the output blocks. Write never blocks.
type BoundedWriter struct {
	buffer  diode.Writer
	lines   *rate.Limiter
	bytes   *rate.Limiter
	dropped atomic.Uint64
}

// NewBoundedWriter returns a writer to the output. A rate limit that is not positive is replaced
// by its default.
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

// Write implements io.Writer. It expects exactly one line and always succeeds.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	now := time.Now()
	if !w.lines.AllowN(now, 1) || !w.bytes.AllowN(now, len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	return w.buffer.Write(line)
}

// DroppedLines returns the number of lines that were dropped.
func (w *BoundedWriter) DroppedLines() uint64 { return w.dropped.Load() }

// Close writes the buffered lines. It blocks as long as the output does.
func (w *BoundedWriter) Close() error { return w.buffer.Close() }

// CloseWithTimeout writes the buffered lines, and gives up after the limit. Flushed reports
// whether all were written. An output that blocks must not delay the exit of the process, but
// without this flush the last lines, which say why the process exited, are lost: under load, one
// of four shutdowns was missing its last line.
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
