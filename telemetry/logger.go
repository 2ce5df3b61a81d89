// Package telemetry holds what a node tells about itself: its log, its metrics
// and the explanations of finished requests. None of them ever holds a body.
package telemetry

import (
	"errors"
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// ErrLevel is returned for a log level that does not exist.
var ErrLevel = errors.New("telemetry: unknown log level")

// Names of the fields that log lines share.
const (
	FieldNode      = "node"
	FieldRequestID = "request_id"
	FieldService   = "service"
	FieldClass     = "class"
)

// NewLogger writes JSON lines of the given level and above.
func NewLogger(output io.Writer, level, node string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || parsed == zerolog.NoLevel {
		return zerolog.Nop(), fmt.Errorf("%w: %q", ErrLevel, level)
	}
	return zerolog.New(output).Level(parsed).With().Timestamp().Str(FieldNode, node).Logger(), nil
}
