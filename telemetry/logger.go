// Package telemetry holds what a node tells about itself: its log, its metrics
// and the explanations of finished requests. None of them ever holds a body.
package telemetry

import (
	"errors"
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// ErrUnknownLevel is returned for a log level that does not exist.
var ErrUnknownLevel = errors.New("telemetry: unknown log level")

// Names of the fields that log lines share.
const (
	FieldNode      = "node"
	FieldRequestID = "request_id"
	FieldService   = "service"
	FieldClass     = "class"
)

// timeFormat gives the times of log lines: most bounds are a few seconds, and what breaks them is
// told apart by milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// timestampHook puts the time on each line.
type timestampHook struct{}

// Run implements zerolog.Hook.
func (timestampHook) Run(line *zerolog.Event, _ zerolog.Level, _ string) {
	line.Str(zerolog.TimestampFieldName, zerolog.TimestampFunc().Format(timeFormat))
}

// NewLogger writes JSON lines of the given level and above.
func NewLogger(output io.Writer, level, node string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || parsed == zerolog.NoLevel {
		return zerolog.Nop(), fmt.Errorf("%w: %q", ErrUnknownLevel, level)
	}
	return zerolog.New(output).Level(parsed).With().Str(FieldNode, node).Logger().Hook(timestampHook{}), nil
}
