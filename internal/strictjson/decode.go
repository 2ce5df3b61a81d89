// Package strictjson decodes bounded JSON documents and refuses what it does
// not know.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Errors of decoding.
var (
	// ErrTooLarge: the document is longer than its bound.
	ErrTooLarge = errors.New("strictjson: document too large")
	// ErrInvalid: the document is no JSON, has an unknown field or trailing data.
	ErrInvalid = errors.New("strictjson: invalid document")
)

// Read reads at most limit bytes; a longer input is ErrTooLarge.
func Read(reader io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
	}
	return data, nil
}

// Unmarshal decodes one document; unknown fields and trailing data are errors.
func Unmarshal(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: data after the document", ErrInvalid)
	}
	return nil
}

// Decode reads and decodes one document of at most limit bytes.
func Decode(reader io.Reader, limit int64, target any) error {
	data, err := Read(reader, limit)
	if err != nil {
		return err
	}
	return Unmarshal(data, target)
}
