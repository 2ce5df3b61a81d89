package route

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is wrapped by the errors of New.
var ErrInvalid = errors.New("route: invalid table")

func invalid(field, format string, values ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrInvalid, field, fmt.Sprintf(format, values...))
}

func (d Definition) validate() error {
	known := make(map[string]struct{}, len(d.Services))
	for i, service := range d.Services {
		field := fmt.Sprintf("services[%d]", i)
		if service.Name == "" {
			return invalid(field+".name", "must not be empty")
		}
		if _, twice := known[service.Name]; twice {
			return invalid(field+".name", "%q stands twice", service.Name)
		}
		if service.Connections < 1 {
			return invalid(field+".connections", "must be at least 1")
		}
		known[service.Name] = struct{}{}
	}
	for i := range d.Routes {
		if err := d.Routes[i].validate(fmt.Sprintf("routes[%d]", i), known); err != nil {
			return err
		}
	}
	return d.Limits.validate()
}

func (l Limits) validate() error {
	switch {
	case l.HeaderBytes <= 0:
		return invalid("limits.header_bytes", "must be positive")
	case l.BodyBytes < 0:
		return invalid("limits.body_bytes", "must not be negative")
	case l.HeaderTimeout <= 0:
		return invalid("limits.header_timeout", "must be positive")
	case l.IdleTimeout <= 0:
		return invalid("limits.idle_timeout", "must be positive")
	default:
		return nil
	}
}

func (r Route) validate(field string, services map[string]struct{}) error {
	switch {
	case r.Host == "":
		return invalid(field+".host", "must not be empty")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return invalid(field+".path_prefix", "%q must begin and end with a slash", r.PathPrefix)
	case r.Timeout <= 0:
		return invalid(field+".timeout", "must be positive")
	case r.Aim < 0:
		return invalid(field+".aim", "must not be negative")
	case r.Attempts < 1:
		return invalid(field+".attempts", "must be at least 1")
	case r.Priority < 0:
		return invalid(field+".priority", "must not be negative")
	default:
		return r.validateTarget(field, services)
	}
}

func (r Route) validateTarget(field string, services map[string]struct{}) error {
	t := r.Target
	switch {
	case t.FanOut() && len(t.Shares) > 0:
		return invalid(field+".target", "names both shards and weighted services")
	case !t.FanOut() && len(t.Shares) == 0:
		return invalid(field+".target", "names no service")
	case t.FanOut() && !r.Repeatable:
		return invalid(field+".repeatable", "must be true for a route over shards")
	case t.FanOut() && t.Top < 0:
		return invalid(field+".top", "must not be negative")
	case t.MinimumCoverage < 0 || t.MinimumCoverage > 1:
		return invalid(field+".minimum_coverage", "must be from 0 to 1")
	}
	total := 0.0
	for i, share := range t.Shares {
		if share.Weight < 0 {
			return invalid(fmt.Sprintf("%s.shares[%d].weight", field, i), "must not be negative")
		}
		total += share.Weight
	}
	if !t.FanOut() && total <= 0 {
		return invalid(field+".shares", "must have a positive weight")
	}
	return validateNames(field, t.Names(), services)
}

func validateNames(field string, names []string, services map[string]struct{}) error {
	seen := make(map[string]struct{}, len(names))
	for _, name := range names {
		if _, known := services[name]; !known {
			return invalid(field+".target", "names the service %q, which is not listed", name)
		}
		if _, twice := seen[name]; twice {
			return invalid(field+".target", "names the service %q twice", name)
		}
		seen[name] = struct{}{}
	}
	return nil
}
