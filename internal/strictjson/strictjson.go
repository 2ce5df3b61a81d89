// Package strictjson decodes JSON documents of limited size and depth into Go
// types, and reports the path of each invalid field.
//
// Decoding is done by encoding/json, with stricter rules: field names match
// exactly (including case) and must not repeat; unknown fields and nulls are
// rejected, and so are missing fields unless their tag has omitempty. A missing
// field is therefore never read as zero. Values of types that implement
// json.Unmarshaler, such as json.RawMessage, are opaque: only their nesting depth
// is checked.
package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Errors returned by the package, wrapped with details.
var (
	// ErrTooLarge means that the document exceeds the size limit.
	ErrTooLarge = errors.New("strictjson: document too large")
	// ErrTooDeep means that the document is nested more deeply than the limit.
	ErrTooDeep = errors.New("strictjson: document nested too deep")
	// ErrSyntax means that the input is not exactly one JSON document.
	ErrSyntax = errors.New("strictjson: not a JSON document")
	// ErrInvalidFields means that fields are invalid; see FieldsError.
	ErrInvalidFields = errors.New("strictjson: invalid fields")
)

// DefaultDepth is the maximum nesting depth if Limits.Depth is zero.
const DefaultDepth = 128

// Limits restricts the documents that are accepted.
type Limits struct {
	// Bytes is the maximum size of the document.
	Bytes int64
	// Depth is the maximum nesting depth of objects and lists; zero means
	// DefaultDepth.
	Depth int
}

// maximumFaults is the maximum number of faults reported for one document.
const maximumFaults = 50

// Fault describes one invalid field.
type Fault struct {
	// Path is the path of the field, such as changes[0].set_class.order.
	Path string
	// Problem describes what is wrong with the field.
	Problem string
}

// FieldsError lists the invalid fields of a document; it wraps ErrInvalidFields.
type FieldsError struct{ Faults []Fault }

// Error returns all faults on one line.
func (e *FieldsError) Error() string {
	texts := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		texts = append(texts, fault.Path+" "+fault.Problem)
	}
	return ErrInvalidFields.Error() + ": " + strings.Join(texts, "; ")
}

// Unwrap returns ErrInvalidFields, for errors.Is.
func (e *FieldsError) Unwrap() error { return ErrInvalidFields }

// Read reads the whole input. It returns ErrTooLarge if the input is longer than
// limit bytes.
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

// Decode reads one complete document into target, which must be a pointer. It
// returns the reader's error or one of this package.
func Decode(reader io.Reader, limits Limits, target any) error {
	data, err := Read(reader, limits.Bytes)
	if err != nil {
		return err
	}
	return Unmarshal(data, limits, target)
}

// Unmarshal decodes one complete document into target, which must be a pointer.
// After an error the content of target is undefined.
func Unmarshal(data []byte, limits Limits, target any) error {
	return unmarshal(data, limits, target, allFields)
}

// Merge decodes a partial document into target, which must be a pointer. Omitted
// fields keep their values. Null is allowed for lists only and sets them to nil.
// After an error the content of target is undefined.
func Merge(data []byte, limits Limits, target any) error {
	return unmarshal(data, limits, target, partialFields)
}

func unmarshal(data []byte, limits Limits, target any, fieldMode fieldMode) error {
	if int64(len(data)) > limits.Bytes {
		return fmt.Errorf("%w: over %d bytes", ErrTooLarge, limits.Bytes)
	}
	if limits.Depth == 0 {
		limits.Depth = DefaultDepth
	}
	if offset, exceeded := depthExceeded(data, limits.Depth); exceeded {
		return fmt.Errorf("%w: over %d levels at byte %d", ErrTooDeep, limits.Depth, offset)
	}
	decodeError := json.Unmarshal(data, target)
	var syntax *json.SyntaxError
	if errors.As(decodeError, &syntax) && !json.Valid(data) {
		return fmt.Errorf("%w: %w", ErrSyntax, decodeError)
	}
	if err := check(data, target, fieldMode); err != nil {
		return err
	}
	return unmarshalError(decodeError)
}

// unmarshalError converts an error returned by encoding/json, or by a type's own
// decoder, to an error of this package.
func unmarshalError(err error) error {
	if err == nil {
		return nil
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &FieldsError{Faults: []Fault{{Path: typeError.Field, Problem: "must not be a " + typeError.Value}}}
	}
	return fmt.Errorf("%w: %w", ErrSyntax, err)
}
