// Package validation validates structs by their tags. It names invalid fields as
// they appear in the document rather than by their Go names.
package validation

import (
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// New returns a validator that names each field by the struct tag with the given
// key, such as json. It caches the tags and is safe for concurrent use.
func New(tagKey string) *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get(tagKey), ",")
		return name
	})
	return validate
}

// Path returns the path of an invalid field within the validated struct, such as
// groups[0].name.
func Path(field validator.FieldError) string {
	_, path, _ := strings.Cut(field.Namespace(), ".")
	return path
}
