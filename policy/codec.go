package policy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maximumDepth bounds how deep documents nest.
const maximumDepth = 16

// decodeStrict reads one JSON document of bounded size and depth. Unknown
// fields and trailing bytes are errors; the error names the field.
func decodeStrict(data []byte, maximumBytes int, target any) error {
	if len(data) > maximumBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(data), maximumBytes)
	}
	if err := checkDepth(data); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: bytes after the document", ErrMalformed)
	}
	return nil
}

// decodeError turns the decoder's error into a fault where it names a field.
func decodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &ValidationError{Faults: []Fault{{Field: typeError.Field, Problem: "must not be a " + typeError.Value}}}
	}
	if _, name, found := strings.Cut(err.Error(), "json: unknown field "); found {
		return &ValidationError{Faults: []Fault{{Field: strings.Trim(name, `"`), Problem: "is not a known field"}}}
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

func checkDepth(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	depth := 0
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth > maximumDepth {
			return fmt.Errorf("%w: nested deeper than %d", ErrMalformed, maximumDepth)
		}
	}
}
