// Package experiment runs a grid of workloads, faults, policies and seeds on the
// event-queue simulation, and reports what each policy did to latency, coverage
// and load.
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

// Errors of experiment files.
var (
	// ErrInvalidFile is returned for a file that is not a valid experiment; the
	// text names the field and its line.
	ErrInvalidFile = errors.New("experiment: invalid file")
	// ErrUnreadableFile is returned for a file that can't be read.
	ErrUnreadableFile = errors.New("experiment: unreadable file")
)

// maxFileBytes bounds an experiment file.
const maxFileBytes = 1 << 20

// File is an experiment: the grid of Workloads x Faults x Policies x Seeds.
type File struct {
	Name  string `yaml:"name" validate:"required,max=64"`
	Seeds Seeds  `yaml:"seeds"`
	// DurationMS is how long queries arrive; WarmupMS of it is not measured.
	DurationMS float64 `yaml:"duration_ms" validate:"gt=0,max=600000"`
	WarmupMS   float64 `yaml:"warmup_ms" validate:"min=0,ltfield=DurationMS"`
	// Reference is the policy against which differences are taken.
	Reference string     `yaml:"reference" validate:"required"`
	Classes   []Class    `yaml:"classes" validate:"min=1,max=16,unique=Name,dive"`
	Workloads []Workload `yaml:"workloads" validate:"min=1,max=64,unique=Name,dive"`
	Faults    []FaultSet `yaml:"faults" validate:"min=1,max=64,unique=Name,dive"`
	Policies  []Policy   `yaml:"policies" validate:"min=1,max=64,unique=Name,dive"`
}

// Seeds is a row of seeds.
type Seeds struct {
	First uint64 `yaml:"first"`
	Count int    `yaml:"count" validate:"min=1,max=1000"`
}

// Class is a priority class and its part of the load.
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
	// Load is the offered work over the capacity.
	Load   float64 `yaml:"load" validate:"gt=0,max=10"`
	Bursts []Burst `yaml:"bursts" validate:"max=64,dive"`
	// Faults names the fault sets to run under; all when empty.
	Faults []string `yaml:"faults" validate:"max=64,unique"`
}

// Deployment is a service with the nodes that use it.
type Deployment struct {
	// Service names one of the firms' services.
	Service string `yaml:"service" validate:"required"`
	// Nodes is the number of nodes that callers use.
	Nodes        int         `yaml:"nodes" validate:"min=1,max=1000"`
	ServiceTime  ServiceTime `yaml:"service_time"`
	QueuePerSlot float64     `yaml:"queue_per_slot" validate:"min=0,max=1000"`
	ReportLagMS  float64     `yaml:"report_lag_ms" validate:"min=0,max=600000"`
	// ReportPeriodMS is the time between polls of a server's load; 0 means none.
	ReportPeriodMS float64 `yaml:"report_period_ms" validate:"min=0,max=600000"`
}

// ServiceTime is the distribution of the time that a sub-request takes.
type ServiceTime struct {
	Distribution string  `yaml:"distribution" validate:"oneof=constant exponential lognormal pareto"`
	MeanMS       float64 `yaml:"mean_ms" validate:"gt=0,max=60000"`
	Sigma        float64 `yaml:"sigma" validate:"min=0,max=4"`
	Shape        float64 `yaml:"shape" validate:"omitempty,gt=1,max=10"`
}

// Burst multiplies a class's arrivals, or all when it names none.
type Burst struct {
	Class   string  `yaml:"class"`
	StartMS float64 `yaml:"start_ms" validate:"min=0"`
	EndMS   float64 `yaml:"end_ms" validate:"gtfield=StartMS"`
	Factor  float64 `yaml:"factor" validate:"gt=0,max=100"`
}

// FaultSet is what goes wrong in a run.
type FaultSet struct {
	Name   string  `yaml:"name" validate:"required,max=64"`
	Events []Fault `yaml:"events" validate:"max=64,dive"`
}

// Fault is one thing that goes wrong.
type Fault struct {
	Kind  string `yaml:"kind" validate:"oneof=slow lost drain cold-start lying-load repartition"`
	Group int    `yaml:"group" validate:"min=0,max=8192"`
	// Replica is the index of a server in the group; all of them when absent.
	Replica        *int    `yaml:"replica" validate:"omitempty,min=0,max=256"`
	StartMS        float64 `yaml:"start_ms" validate:"min=0"`
	EndMS          float64 `yaml:"end_ms" validate:"gtfield=StartMS"`
	Factor         float64 `yaml:"factor" validate:"min=0,max=10000"`
	DetectionLagMS float64 `yaml:"detection_lag_ms" validate:"min=0,max=600000"`
}

// Policy is a way of deciding, with its settings.
type Policy struct {
	Name string `yaml:"name" validate:"required,max=64"`
	// Kind is the policy's implementation.
	Kind string `yaml:"kind" validate:"oneof=naive fixed-hedge strict-priority oracle banksail"`
	// HedgeDelayMS is for fixed-hedge; the 98th percentile of the service time
	// and the round trip when zero.
	HedgeDelayMS float64 `yaml:"hedge_delay_ms" validate:"min=0,max=600000"`
	// InFlightPerSlot is for strict-priority: what all nodes together may have
	// in flight at a server, per slot; 2 when zero.
	InFlightPerSlot float64 `yaml:"in_flight_per_slot" validate:"min=0,max=1000"`
	// Options is for banksail.
	Options Tuning `yaml:"options"`
}

// Load reads and checks an experiment file.
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

// Parse checks the text of an experiment file.
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

// checkNames verifies that every name refers to something.
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

// RestrictToWorkload drops all workloads but the named one.
func (f *File) RestrictToWorkload(name string) error {
	for _, workload := range f.Workloads {
		if workload.Name == name {
			f.Workloads = []Workload{workload}
			return nil
		}
	}
	return fmt.Errorf("%w: workloads: none is named %q", ErrInvalidFile, name)
}
