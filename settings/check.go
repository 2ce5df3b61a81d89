package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/banksail/banksail/internal/validation"
)

// identifierPattern matches valid node IDs and zones.
var identifierPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// validate checks the settings against their validation tags. It skips settings for which a fault is
// already known, so that each is reported once.
func validate(loaded Settings, known []Fault) []Fault {
	err := newValidator().Struct(loaded)
	var invalid validator.ValidationErrors
	if err == nil {
		return nil
	}
	if !errors.As(err, &invalid) {
		return []Fault{{Problem: err.Error()}}
	}
	reported := make(map[string]bool, len(known))
	for _, fault := range known {
		reported[fault.Path] = true
	}
	var faults []Fault
	for _, field := range invalid {
		path := validation.Path(field)
		if !reported[path] {
			faults = append(faults, Fault{Path: path, Problem: describeFailure(field)})
		}
	}
	return faults
}

func newValidator() *validator.Validate {
	v := validation.New("koanf")
	register := func(tag string, valid func(string) bool) {
		function := func(level validator.FieldLevel) bool { return valid(level.Field().String()) }
		if err := v.RegisterValidation(tag, function); err != nil {
			panic(fmt.Sprintf("settings: registering %s: %v", tag, err))
		}
	}
	register("identifier", identifierPattern.MatchString)
	register("ip_port", isIPPort)
	return v
}

func isIPPort(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// describeFailure returns the message for a failed validation tag.
func describeFailure(field validator.FieldError) string {
	switch field.Tag() {
	case "required":
		return "is required"
	case "min":
		return fmt.Sprintf("must be at least %s, is %v", field.Param(), field.Value())
	case "max":
		return fmt.Sprintf("must be at most %s, is %v", field.Param(), field.Value())
	case "oneof":
		return fmt.Sprintf("must be one of %s, is %q", field.Param(), field.Value())
	case "nefield":
		return fmt.Sprintf("must differ from listen.%s", strings.ToLower(field.Param()))
	case "identifier":
		return fmt.Sprintf("must be letters, digits, '.', '_' and '-', is %q", field.Value())
	case "ip_port":
		return fmt.Sprintf("must be an IP number and port such as 10.0.0.5:8080, is %q", field.Value())
	default:
		return fmt.Sprintf("fails the check %q", field.Tag())
	}
}
