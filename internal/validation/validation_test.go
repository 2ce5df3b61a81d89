package validation

import (
	"errors"
	"testing"

	"github.com/go-playground/validator/v10"
)

func TestPathUsesTagNames(t *testing.T) {
	type group struct {
		Name string `json:"name,omitempty" validate:"required"`
	}
	type document struct {
		Groups []group `json:"groups" validate:"dive"`
	}
	err := New("json").Struct(document{Groups: []group{{Name: "a"}, {}}})
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) || len(invalid) != 1 || Path(invalid[0]) != "groups[1].name" {
		t.Fatalf("got %v, want one error at groups[1].name", err)
	}
}
