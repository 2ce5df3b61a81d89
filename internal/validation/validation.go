// Package validation checks struct tags and names faulty fields as documents
// name them, rather than as Go does.
package validation

import (
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// New returns a validator that names each field by its tag of the given key,
// such as json. It caches the tags and is safe for concurrent use.
func New(tagKey string) *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get(tagKey), ",")
		return name
	})
	return validate
}

// Path returns the path of a faulty field within the checked struct, such as
// groups[0].name.
func Path(field validator.FieldError) string {
	_, path, _ := strings.Cut(field.Namespace(), ".")
	return path
}
