// Package jsonfields reads JSON documents of bounded size and depth into Go
// types, and names the path of every fault.
//
// It is stricter than encoding/json: names match exactly, no name may be given
// twice, unknown fields are faults, and so are missing fields unless their tag
// says omitempty. A missing field is thus never read as a zero.
package jsonfields

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Errors of the package, wrapped with details.
var (
	// ErrTooLarge: the document has more bytes than the limit.
	ErrTooLarge = errors.New("jsonfields: document too large")
	// ErrTooDeep: the document nests deeper than the limit.
	ErrTooDeep = errors.New("jsonfields: document nested too deep")
	// ErrSyntax: the bytes are not one JSON document.
	ErrSyntax = errors.New("jsonfields: not a JSON document")
	// ErrFields: fields are faulty; see FieldsError.
	ErrFields = errors.New("jsonfields: faulty fields")
)

// Limits bounds what is read.
type Limits struct {
	// Bytes is the greatest size of the document.
	Bytes int
	// Depth is the greatest number of objects and lists within each other.
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

// FieldsError lists faulty fields; it wraps ErrFields.
type FieldsError struct{ Faults []Fault }

// Error lists every fault on one line.
func (e *FieldsError) Error() string {
	texts := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		texts = append(texts, fault.Path+" "+fault.Problem)
	}
	return ErrFields.Error() + ": " + strings.Join(texts, "; ")
}

// Unwrap makes errors.Is(err, ErrFields) true.
func (e *FieldsError) Unwrap() error { return ErrFields }

// Decode reads one document into target, which must be a pointer.
func Decode(data []byte, limits Limits, target any) error {
	if len(data) > limits.Bytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(data), limits.Bytes)
	}
	if err := check(data, limits.Depth, target); err != nil {
		return err
	}
	if err := json.Unmarshal(data, target); err != nil {
		return unmarshalError(err)
	}
	return nil
}

// unmarshalError turns an error of a type's own decoder into a fault.
func unmarshalError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &FieldsError{Faults: []Fault{{Path: typeError.Field, Problem: "must not be a " + typeError.Value}}}
	}
	return fmt.Errorf("%w: %w", ErrSyntax, err)
}
