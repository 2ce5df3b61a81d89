package policy

import (
	"errors"
	"fmt"

	"github.com/banksail/banksail/internal/strictjson"
)

// maximumDepth limits the nesting depth of JSON documents.
const maximumDepth = 16

// decodeStrict decodes one JSON document of limited size and depth. It returns
// a *ValidationError that names the invalid fields, ErrTooLarge, or
// ErrMalformed.
func decodeStrict(data []byte, maximumBytes int, target any) error {
	err := strictjson.Unmarshal(data, strictjson.Limits{Bytes: int64(maximumBytes), Depth: maximumDepth}, target)
	var fields *strictjson.FieldsError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &fields):
		faults := make([]Fault, 0, len(fields.Faults))
		for _, fault := range fields.Faults {
			faults = append(faults, Fault{Field: fault.Path, Problem: fault.Problem})
		}
		return &ValidationError{Faults: faults}
	case errors.Is(err, strictjson.ErrTooLarge):
		return fmt.Errorf("%w: %w", ErrTooLarge, err)
	default:
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
}
