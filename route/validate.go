package route

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is wrapped by all errors of New.
var ErrInvalid = errors.New("route: invalid table")

// fieldError reports an invalid field of a definition.
type fieldError struct{ field, text string }

// Error implements error.
func (e *fieldError) Error() string { return fmt.Sprintf("%s: %s: %s", ErrInvalid, e.field, e.text) }

// Unwrap returns ErrInvalid.
func (e *fieldError) Unwrap() error { return ErrInvalid }

// inField returns the error with its path prefixed by the enclosing field.
func (e *fieldError) inField(field string) *fieldError {
	return &fieldError{field: field + "." + e.field, text: e.text}
}

func invalid(field, format string, values ...any) *fieldError {
	return &fieldError{field: field, text: fmt.Sprintf(format, values...)}
}

// validate checks the definition, whose routes share the given sets of shards. Each set is checked
// only once, because tables have many routes and few, long sets.
func (d *Definition) validate(sets [][]string) error {
	known := make(map[string]struct{}, len(d.Services))
	for i, service := range d.Services {
		if err := service.validate(known); err != nil {
			return err.inField(fmt.Sprintf("services[%d]", i))
		}
		known[service.Name] = struct{}{}
	}
	validShards := make(map[*string]bool, len(sets))
	for _, set := range sets {
		validShards[&set[0]] = validateNames(set, known) == nil
	}
	for i := range d.Routes {
		if err := d.Routes[i].validate(known, validShards); err != nil {
			return err.inField(fmt.Sprintf("routes[%d]", i))
		}
	}
	if err := d.Limits.validate(); err != nil {
		return err.inField("limits")
	}
	return nil
}

func (s Service) validate(known map[string]struct{}) *fieldError {
	if s.Name == "" {
		return invalid("name", "must not be empty")
	}
	if _, duplicate := known[s.Name]; duplicate {
		return invalid("name", "%q stands twice", s.Name)
	}
	if s.Connections < 1 {
		return invalid("connections", "must be at least 1")
	}
	if s.ColdRate < 0 {
		return invalid("cold_rate", "must not be negative")
	}
	return nil
}

func (l Limits) validate() *fieldError {
	switch {
	case l.HeaderBytes <= 0:
		return invalid("header_bytes", "must be positive")
	case l.BodyBytes < 0:
		return invalid("body_bytes", "must not be negative")
	case l.HeaderTimeout <= 0:
		return invalid("header_timeout", "must be positive")
	case l.IdleTimeout <= 0:
		return invalid("idle_timeout", "must be positive")
	default:
		return nil
	}
}

func (r *Route) validate(services map[string]struct{}, validShards map[*string]bool) *fieldError {
	switch {
	case r.Host == "":
		return invalid("host", "must not be empty")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return invalid("path_prefix", "%q must begin and end with a slash", r.PathPrefix)
	case r.Timeout <= 0:
		return invalid("timeout", "must be positive")
	case r.LatencyTarget < 0:
		return invalid("aim", "must not be negative")
	case r.Attempts < 1:
		return invalid("attempts", "must be at least 1")
	case r.Priority < 0:
		return invalid("priority", "must not be negative")
	default:
		return r.validateTarget(services, validShards)
	}
}

func (r *Route) validateTarget(services map[string]struct{}, validShards map[*string]bool) *fieldError {
	t := &r.Target
	switch {
	case t.IsFanOut() && len(t.Shares) > 0:
		return invalid("target", "names both shards and weighted services")
	case !t.IsFanOut() && len(t.Shares) == 0:
		return invalid("target", "names no service")
	case t.IsFanOut() && !r.Repeatable:
		return invalid("repeatable", "must be true for a route over shards")
	case t.IsFanOut() && t.Top < 0:
		return invalid("top", "must not be negative")
	case t.MinimumCoverage < 0 || t.MinimumCoverage > 1:
		return invalid("minimum_coverage", "must be from 0 to 1")
	case t.IsFanOut() && validShards[&t.Shards[0]]:
		return nil
	}
	if err := t.validateShares(); err != nil {
		return err
	}
	return validateNames(t.ServiceNames(), services)
}

func (t *Target) validateShares() *fieldError {
	total := 0.0
	for i, share := range t.Shares {
		if share.Weight < 0 {
			return invalid(fmt.Sprintf("shares[%d].weight", i), "must not be negative")
		}
		total += share.Weight
	}
	if !t.IsFanOut() && total <= 0 {
		return invalid("shares", "must have a positive weight")
	}
	return nil
}

func validateNames(names []string, services map[string]struct{}) *fieldError {
	seen := make(map[string]struct{}, len(names))
	for _, name := range names {
		if _, known := services[name]; !known {
			return invalid("target", "names the service %q, which is not listed", name)
		}
		if _, duplicate := seen[name]; duplicate {
			return invalid("target", "names the service %q twice", name)
		}
		seen[name] = struct{}{}
	}
	return nil
}
