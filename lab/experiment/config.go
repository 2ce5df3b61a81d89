// Package experiment runs a grid of workloads, fault sets, policies and seeds on
// the discrete-event simulation of package cluster and reports the latency,
// coverage and load of each policy.
package experiment

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/banksail/banksail/lab/experiment/cluster"
	"github.com/banksail/banksail/policy"
)

// Errors returned by Load, Parse and the methods of File.
var (
	// ErrInvalidFile is returned for a file that is not a valid experiment. The
	// message names the field, and the line if YAML decoding failed.
	ErrInvalidFile = errors.New("experiment: invalid file")
	// ErrUnreadableFile is returned for a file that cannot be read.
	ErrUnreadableFile = errors.New("experiment: unreadable file")
)

// maxFileBytes is the maximum size of an experiment file.
const maxFileBytes = 1 << 20

// File is an experiment: the grid of Workloads x Faults x Policies x Seeds. Load
// and Parse return only valid files.
type File struct {
	Name  string `yaml:"name" validate:"required,max=64"`
	Seeds Seeds  `yaml:"seeds"`
	// DurationMS is the time during which queries arrive. Queries that arrive in
	// the first WarmupMS are not measured.
	DurationMS float64 `yaml:"duration_ms" validate:"gt=0,max=600000"`
	WarmupMS   float64 `yaml:"warmup_ms" validate:"min=0,ltfield=DurationMS"`
	// Reference names the policy with which the other policies are compared.
	Reference string     `yaml:"reference" validate:"required"`
	Classes   []Class    `yaml:"classes" validate:"min=1,max=16,unique=Name,dive"`
	Workloads []Workload `yaml:"workloads" validate:"min=1,max=64,unique=Name,dive"`
	Faults    []FaultSet `yaml:"faults" validate:"min=1,max=64,unique=Name,dive"`
	Policies  []Policy   `yaml:"policies" validate:"min=1,max=64,unique=Name,dive"`
}

// Seeds is a range of Count consecutive seeds.
type Seeds struct {
	First uint64 `yaml:"first"`
	Count int    `yaml:"count" validate:"min=1,max=1000"`
}

// Class is a priority class and its share of the queries.
type Class struct {
	Name            string  `yaml:"name" validate:"required,max=64"`
	Order           int     `yaml:"order" validate:"min=0,max=1000"`
	Share           float64 `yaml:"share" validate:"gt=0,max=1"`
	Work            float64 `yaml:"work" validate:"min=0,max=1000"`
	DeadlineMS      float64 `yaml:"deadline_ms" validate:"gt=0,max=600000"`
	LongestWaitMS   float64 `yaml:"longest_wait_ms" validate:"min=0,max=600000"`
	MinimumCoverage float64 `yaml:"minimum_coverage" validate:"min=0,max=1"`
	HedgeShare      float64 `yaml:"hedge_share" validate:"min=0,max=1"`
	Headroom        float64 `yaml:"headroom" validate:"min=0,max=0.9"`
	NotRepeatable   bool    `yaml:"not_repeatable"`
}

// Workload is the load on one service.
type Workload struct {
	Name       string     `yaml:"name" validate:"required,max=64"`
	Deployment Deployment `yaml:"deployment"`
	// Load is the offered work divided by the capacity of the smallest group.
	Load   float64 `yaml:"load" validate:"gt=0,max=10"`
	Bursts []Burst `yaml:"bursts" validate:"max=64,dive"`
	// Faults names the fault sets under which the workload runs; empty means all.
	Faults []string `yaml:"faults" validate:"max=64,unique"`
}

// Deployment is a service and the nodes that query it.
type Deployment struct {
	// Service names a service of one of the profiles in package profile.
	Service string `yaml:"service" validate:"required"`
	// Nodes is the number of nodes that receive queries from callers.
	Nodes        int         `yaml:"nodes" validate:"min=1,max=1000"`
	ServiceTime  ServiceTime `yaml:"service_time"`
	QueuePerSlot float64     `yaml:"queue_per_slot" validate:"min=0,max=1000"`
	ReportLagMS  float64     `yaml:"report_lag_ms" validate:"min=0,max=600000"`
	// ReportPeriodMS is the interval between polls of a server's load; 0
	// disables polling.
	ReportPeriodMS float64 `yaml:"report_period_ms" validate:"min=0,max=600000"`
}

// ServiceTime is the distribution of a sub-request's execution time at a server.
type ServiceTime struct {
	Distribution string  `yaml:"distribution" validate:"oneof=constant exponential lognormal pareto"`
	MeanMS       float64 `yaml:"mean_ms" validate:"gt=0,max=60000"`
	Sigma        float64 `yaml:"sigma" validate:"min=0,max=4"`
	Shape        float64 `yaml:"shape" validate:"omitempty,gt=1,max=10"`
}

// Burst multiplies the arrival rate of a class, or of all classes when Class is
// empty, from StartMS to EndMS.
type Burst struct {
	Class   string  `yaml:"class"`
	StartMS float64 `yaml:"start_ms" validate:"min=0"`
	EndMS   float64 `yaml:"end_ms" validate:"gtfield=StartMS"`
	Factor  float64 `yaml:"factor" validate:"gt=0,max=100"`
}

// FaultSet is a named set of faults that are injected into one run.
type FaultSet struct {
	Name   string  `yaml:"name" validate:"required,max=64"`
	Events []Fault `yaml:"events" validate:"max=64,dive"`
}

// Fault is one injected fault; see cluster.FaultKind for the kinds.
type Fault struct {
	Kind  string `yaml:"kind" validate:"oneof=slow lost drain cold-start lying-load repartition"`
	Group int    `yaml:"group" validate:"min=0,max=8192"`
	// Replica is the index of a server in the group; nil means all servers.
	Replica        *int    `yaml:"replica" validate:"omitempty,min=0,max=256"`
	StartMS        float64 `yaml:"start_ms" validate:"min=0"`
	EndMS          float64 `yaml:"end_ms" validate:"gtfield=StartMS"`
	Factor         float64 `yaml:"factor" validate:"min=0,max=10000"`
	DetectionLagMS float64 `yaml:"detection_lag_ms" validate:"min=0,max=600000"`
}

// Policy is a dispatch policy and its settings.
type Policy struct {
	Name string `yaml:"name" validate:"required,max=64"`
	// Kind selects the implementation of the policy.
	Kind string `yaml:"kind" validate:"oneof=naive fixed-hedge strict-priority oracle banksail"`
	// HedgeDelayMS is the hedge delay of fixed-hedge. Zero means the 98th
	// percentile of the service time plus the round-trip time.
	HedgeDelayMS float64 `yaml:"hedge_delay_ms" validate:"min=0,max=600000"`
	// InFlightPerSlot is the in-flight limit of strict-priority: the number of
	// sub-requests per slot that all nodes together may have in flight at a
	// server. Zero means 2.
	InFlightPerSlot float64 `yaml:"in_flight_per_slot" validate:"min=0,max=1000"`
	// Options are the dispatcher's options for policies of kind banksail.
	Options Tuning `yaml:"options"`
}

// Load reads and validates an experiment file. It returns ErrUnreadableFile or
// ErrInvalidFile.
func Load(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadableFile, err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%w: %s is larger than %d bytes", ErrInvalidFile, path, maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadableFile, err)
	}
	return Parse(text)
}

// Parse decodes and validates the YAML text of an experiment file. Unknown fields
// are errors.
func Parse(text []byte) (*File, error) {
	file := &File{}
	options := []yaml.DecodeOption{yaml.Strict(), yaml.Validator(validator.New())}
	if err := yaml.UnmarshalWithOptions(text, file, options...); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidFile, err)
	}
	if err := file.checkNames(); err != nil {
		return nil, err
	}
	return file, nil
}

// checkNames verifies that each policy, service, fault set and class that the
// file refers to exists.
func (f *File) checkNames() error {
	policies, faults, classes := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, listed := range f.Policies {
		policies[listed.Name] = true
	}
	for _, listed := range f.Faults {
		faults[listed.Name] = true
	}
	for _, listed := range f.Classes {
		classes[listed.Name] = true
	}
	if !policies[f.Reference] {
		return fmt.Errorf("%w: reference: no policy is named %q", ErrInvalidFile, f.Reference)
	}
	for index, workload := range f.Workloads {
		field := fmt.Sprintf("workloads[%d]", index)
		if _, known := findService(workload.Deployment.Service); !known {
			return fmt.Errorf("%w: %s.deployment.service: no service is named %q", ErrInvalidFile, field, workload.Deployment.Service)
		}
		for _, name := range workload.Faults {
			if !faults[name] {
				return fmt.Errorf("%w: %s.faults: no fault set is named %q", ErrInvalidFile, field, name)
			}
		}
		for _, burst := range workload.Bursts {
			if burst.Class != "" && !classes[burst.Class] {
				return fmt.Errorf("%w: %s.bursts.class: no class is named %q", ErrInvalidFile, field, burst.Class)
			}
		}
	}
	return nil
}

func milliseconds(value float64) time.Duration {
	return policy.Milliseconds(value).Duration()
}

func (f Fault) build() cluster.Fault {
	replica := cluster.AnyReplica
	if f.Replica != nil {
		replica = *f.Replica
	}
	return cluster.Fault{
		Kind:         cluster.FaultKind(f.Kind),
		Group:        f.Group,
		Replica:      replica,
		Start:        milliseconds(f.StartMS),
		End:          milliseconds(f.EndMS),
		Factor:       f.Factor,
		DetectionLag: milliseconds(f.DetectionLagMS),
	}
}

// RestrictToWorkload removes all workloads except the named one. It returns
// ErrInvalidFile if there is no workload of that name.
func (f *File) RestrictToWorkload(name string) error {
	for _, workload := range f.Workloads {
		if workload.Name == name {
			f.Workloads = []Workload{workload}
			return nil
		}
	}
	return fmt.Errorf("%w: workloads: none is named %q", ErrInvalidFile, name)
}
