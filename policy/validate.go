package policy

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/internal/validation"
)

// MaximumHeadroomSum limits the total headroom that is reserved against the
// class served last.
const MaximumHeadroomSum = 0.9

// fieldValidator caches the parsed struct tags. It is safe for concurrent use.
var fieldValidator = sync.OnceValue(func() *validator.Validate { return validation.New("json") })

// Validate checks a complete configuration. It returns a *ValidationError that
// gives the path of each invalid value.
func Validate(config Config) error {
	faults := &faultList{}
	checkTags(faults, "", config)
	checkRules(faults, config)
	return faults.err()
}

// checkRules checks the rules that span several fields and cannot be expressed
// as struct tags.
func checkRules(faults *faultList, config Config) {
	checkClasses(faults, config.Classes)
	checkServices(faults, config.Services)
	checkServerIdentities(faults, config.Services)
}

// checkTags checks the struct tags of value and adds the violations to faults,
// with prefix before each path.
func checkTags(faults *faultList, prefix string, value any) {
	var invalid validator.ValidationErrors
	err := fieldValidator().Struct(value)
	if !errors.As(err, &invalid) {
		return
	}
	for _, fieldError := range invalid {
		faults.add(prefix+validation.Path(fieldError), "%s", describeRule(fieldError))
	}
}

func describeRule(fieldError validator.FieldError) string {
	parameter := fieldError.Param()
	switch fieldError.Tag() {
	case "required":
		return "must be given"
	case "min", "gte":
		return "must be at least " + parameter
	case "max", "lte":
		return "must be at most " + parameter
	case "gt":
		return "must be greater than " + parameter
	case "gtfield":
		return "must be greater than " + strings.ToLower(parameter)
	case "unique":
		return "must not hold the same " + strings.ToLower(parameter) + " twice"
	case "hostname_port":
		return "must be an IP number and port"
	case "oneof":
		return "must be one of " + parameter
	default:
		return "must satisfy " + fieldError.Tag() + " " + parameter
	}
}

// checkClasses verifies that the total headroom leaves capacity for the class
// served last, and that no queue wait exceeds the deadline.
func checkClasses(faults *faultList, classes []Class) {
	if sum := headroomSum(classes); sum > MaximumHeadroomSum {
		faults.add("classes", "headroom of all classes but the last adds up to %.2f; at most %.2f may be kept",
			sum, MaximumHeadroomSum)
	}
	for index, class := range classes {
		if class.LongestWait > class.Deadline {
			faults.add(fmt.Sprintf("classes[%d].longest_wait_ms", index),
				"must not exceed deadline_ms (%v)", float64(class.Deadline))
		}
	}
}

// headroomSum returns the total headroom of all classes except the one served
// last.
func headroomSum(classes []Class) float64 {
	if len(classes) == 0 {
		return 0
	}
	ordered := slices.Clone(classes)
	slices.SortStableFunc(ordered, func(a, b Class) int { return a.Order - b.Order })
	sum := 0.0
	for _, class := range ordered[:len(ordered)-1] {
		sum += class.Headroom
	}
	return sum
}

func checkServices(faults *faultList, services []Service) {
	for index, service := range services {
		path := fmt.Sprintf("services[%d]", index)
		checkPartition(faults, path, service)
		for groupIndex, group := range service.Groups {
			for serverIndex, server := range group.Servers {
				checkAddress(faults, fmt.Sprintf("%s.groups[%d].servers[%d].address", path, groupIndex, serverIndex), server.Address)
			}
		}
	}
}

func checkAddress(faults *faultList, path, address string) {
	if address == "" {
		return // reported by checkTags
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		faults.add(path, "must be an IP number and port, such as 10.0.0.7:8080")
	}
}

// checkPartition verifies that the groups' ranges cover each key of the key
// space exactly once.
func checkPartition(faults *faultList, path string, service Service) {
	if service.KeySpace.Validate() != nil {
		return // reported by checkTags
	}
	type indexed struct {
		index int
		keys  coverage.Range
	}
	ordered := make([]indexed, 0, len(service.Groups))
	for index, group := range service.Groups {
		if group.Range.Validate() != nil {
			return // reported by checkTags
		}
		ordered = append(ordered, indexed{index: index, keys: group.Range})
	}
	slices.SortStableFunc(ordered, func(a, b indexed) int {
		return cmp.Compare(a.keys.Start, b.keys.Start)
	})
	next := service.KeySpace.Start
	for _, group := range ordered {
		field := fmt.Sprintf("%s.groups[%d].range", path, group.index)
		switch {
		case !service.KeySpace.Contains(group.keys):
			faults.add(field, "%v lies outside the key space %v", group.keys, service.KeySpace)
		case group.keys.Start < next:
			faults.add(field, "%v overlaps another group: keys below %d are held already", group.keys, next)
		case group.keys.Start > next:
			faults.add(field, "no group holds [%d, %d)", next, group.keys.Start)
		}
		next = max(next, group.keys.End)
	}
	if next < service.KeySpace.End {
		faults.add(path+".groups", "no group holds [%d, %d)", next, service.KeySpace.End)
	}
}

// checkServerIdentities verifies that a server listed more than once has the
// same attributes everywhere.
func checkServerIdentities(faults *faultList, services []Service) {
	first := map[string]Server{}
	for serviceIndex, service := range services {
		for groupIndex, group := range service.Groups {
			for serverIndex, server := range group.Servers {
				known, found := first[server.ID]
				if !found {
					first[server.ID] = server
					continue
				}
				if known != server {
					faults.add(fmt.Sprintf("services[%d].groups[%d].servers[%d]", serviceIndex, groupIndex, serverIndex),
						"server %s is described differently elsewhere", server.ID)
				}
			}
		}
	}
}
