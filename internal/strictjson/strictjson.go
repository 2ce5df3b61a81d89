// Package strictjson reads JSON documents of bounded size and depth into Go
// types, and names the path of every fault.
//
// It is stricter than encoding/json, which does the decoding: names match
// exactly, no name may be given twice, unknown fields are faults, and so are nulls,
// and missing fields unless their tag says omitempty. A missing field is thus
// never read as a zero. Values whose type decodes itself, such as
// json.RawMessage, are opaque: only their depth is checked.
package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Errors of the package, wrapped with details.
var (
	// ErrTooLarge: the document has more bytes than the limit.
	ErrTooLarge = errors.New("strictjson: document too large")
	// ErrTooDeep: the document nests deeper than the limit.
	ErrTooDeep = errors.New("strictjson: document nested too deep")
	// ErrSyntax: the bytes are not one JSON document.
	ErrSyntax = errors.New("strictjson: not a JSON document")
	// ErrInvalidFields: fields are faulty; see FieldsError.
	ErrInvalidFields = errors.New("strictjson: faulty fields")
)

// DefaultDepth bounds the nesting where Limits names no depth.
const DefaultDepth = 128

// Limits bounds what is read.
type Limits struct {
	// Bytes is the greatest size of the document.
	Bytes int64
	// Depth is the greatest number of objects and lists within each other;
	// DefaultDepth when zero.
	Depth int
}

// maximumFaults bounds the faults that are reported of one document.
const maximumFaults = 50

// Fault is one faulty field.
type Fault struct {
	// Path leads to the field, such as changes[0].set_class.order.
	Path string
	// Problem says what is wrong with it.
	Problem string
}

// FieldsError lists faulty fields; it wraps ErrInvalidFields.
type FieldsError struct{ Faults []Fault }

// Error lists every fault on one line.
func (e *FieldsError) Error() string {
	texts := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		texts = append(texts, fault.Path+" "+fault.Problem)
	}
	return ErrInvalidFields.Error() + ": " + strings.Join(texts, "; ")
}

// Unwrap makes errors.Is(err, ErrInvalidFields) true.
func (e *FieldsError) Unwrap() error { return ErrInvalidFields }

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

// Decode reads one whole document into target, which must be a pointer. It
// returns the reader's own error, or one of the package's.
func Decode(reader io.Reader, limits Limits, target any) error {
	data, err := Read(reader, limits.Bytes)
	if err != nil {
		return err
	}
	return Unmarshal(data, limits, target)
}

// Unmarshal decodes one whole document into target, which must be a pointer.
// After an error target's content is undefined.
func Unmarshal(data []byte, limits Limits, target any) error {
	return unmarshal(data, limits, target, allFields)
}

// Merge decodes a document that need not name every field into target, which
// must be a pointer. Fields that it does not name keep their values; a null
// empties a list. After an error target's content is undefined.
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

// unmarshalError turns an error of a type's own decoder into a fault.
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
