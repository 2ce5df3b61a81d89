// Package telemetry implements a node's log, its metrics and the explanations of finished
// requests. None of them ever contains the body of a request or an answer.
package telemetry

import (
	"errors"
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// ErrUnknownLevel is wrapped by the error for an unknown log level.
var ErrUnknownLevel = errors.New("telemetry: unknown log level")

// Names of common fields of log lines.
const (
	FieldNode      = "node"
	FieldRequestID = "request_id"
	FieldService   = "service"
	FieldClass     = "class"
)

// timeFormat is the format of times in log lines. It includes milliseconds, because most limits
// are a few seconds and whole seconds cannot show whether one was exceeded.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// timestampHook adds the time to each line.
type timestampHook struct{}

// Run implements zerolog.Hook.
func (timestampHook) Run(line *zerolog.Event, _ zerolog.Level, _ string) {
	line.Str(zerolog.TimestampFieldName, zerolog.TimestampFunc().Format(timeFormat))
}

// NewLogger returns a logger that writes lines of JSON at the given level and above. Its error
// wraps ErrUnknownLevel.
func NewLogger(output io.Writer, level, node string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || parsed == zerolog.NoLevel {
		return zerolog.Nop(), fmt.Errorf("%w: %q", ErrUnknownLevel, level)
	}
	return zerolog.New(output).Level(parsed).With().Str(FieldNode, node).Logger().Hook(timestampHook{}), nil
}
