package policy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Intent is an operator's request for changes that take effect together.
type Intent struct {
	// Author is the operator's name, for the history.
	Author string `json:"author,omitempty" validate:"required,max=128"`
	// Note is the reason for the change, for the history.
	Note string `json:"note,omitempty" validate:"max=512"`
	// Changes lists the changes, which are applied in order.
	Changes []Change `json:"changes" validate:"min=1,max=256"`
}

// Change is one requested change. Exactly one field must be set.
type Change struct {
	// SetClass adds a class or replaces the class of the same name.
	SetClass *Class `json:"set_class,omitempty"`
	// RemoveClass removes the class of this name.
	RemoveClass string `json:"remove_class,omitempty"`
	// SetService adds a service or replaces the service of the same name. To
	// split, merge or move groups, give the new list of groups.
	SetService *Service `json:"set_service,omitempty"`
	// SetGroup replaces one group of a service: its servers and its range. The
	// size of the change does not depend on the number of groups, so the deltas
	// that nodes transfer stay small as well.
	SetGroup *GroupChange `json:"set_group,omitempty"`
	// RemoveService removes the service of this name.
	RemoveService string `json:"remove_service,omitempty"`
	// Replace replaces the complete configuration.
	Replace *Config `json:"replace,omitempty"`
}

// GroupChange replaces the group of the same name in the named service.
type GroupChange struct {
	Service string `json:"service" validate:"required,max=64"`
	Group   Group  `json:"group"`
}

// Apply returns the configuration that results from applying an intent to base,
// in canonical order, or a *ValidationError. It does not modify base.
func Apply(base Config, intent Intent) (Config, error) {
	faults := &faultList{}
	checkTags(faults, "", intent)
	next := base.clone()
	for index, change := range intent.Changes {
		next = applyChange(faults, fmt.Sprintf("changes[%d]", index), next, change)
	}
	if err := faults.err(); err != nil {
		return Config{}, err
	}
	next.canonicalize()
	if err := Validate(next); err != nil {
		return Config{}, err
	}
	return next, nil
}

func applyChange(faults *faultList, path string, config Config, change Change) Config {
	if count := change.count(); count != 1 {
		faults.add(path, "must hold exactly one of set_class, remove_class, set_service, set_group, remove_service, replace; it holds %d", count)
		return config
	}
	switch {
	case change.SetClass != nil:
		checkTags(faults, path+".set_class.", *change.SetClass)
		config.Classes = upsert(config.Classes, *change.SetClass)
	case change.SetService != nil:
		checkTags(faults, path+".set_service.", *change.SetService)
		config.Services = upsert(config.Services, change.SetService.clone())
	case change.SetGroup != nil:
		checkTags(faults, path+".set_group.", *change.SetGroup)
		setGroup(faults, path+".set_group", config, *change.SetGroup)
	case change.Replace != nil:
		checkTags(faults, path+".replace.", *change.Replace)
		return change.Replace.clone()
	case change.RemoveClass != "":
		var found bool
		config.Classes, found = remove(config.Classes, change.RemoveClass)
		if !found {
			faults.add(path+".remove_class", "there is no class %q", change.RemoveClass)
		}
	case change.RemoveService != "":
		var found bool
		config.Services, found = remove(config.Services, change.RemoveService)
		if !found {
			faults.add(path+".remove_service", "there is no service %q", change.RemoveService)
		}
	}
	return config
}

// setGroup replaces a group in place. The lists of config must not be shared
// with another configuration.
func setGroup(faults *faultList, path string, config Config, change GroupChange) {
	service := slices.IndexFunc(config.Services, func(known Service) bool { return known.Name == change.Service })
	if service < 0 {
		faults.add(path+".service", "there is no service %q", change.Service)
		return
	}
	groups := config.Services[service].Groups
	group := slices.IndexFunc(groups, func(known Group) bool { return known.Name == change.Group.Name })
	if group < 0 {
		faults.add(path+".group.name", "service %q has no group %q", change.Service, change.Group.Name)
		return
	}
	groups[group] = change.Group
	groups[group].Servers = slices.Clone(change.Group.Servers)
}

func (c Change) count() int {
	count := 0
	for _, set := range []bool{c.SetClass != nil, c.RemoveClass != "", c.SetService != nil, c.SetGroup != nil, c.RemoveService != "", c.Replace != nil} {
		if set {
			count++
		}
	}
	return count
}

// upsert replaces the item of the same name, or appends it if there is none.
func upsert[T namedItem](items []T, item T) []T {
	for index := range items {
		if items[index].name() == item.name() {
			items[index] = item
			return items
		}
	}
	return append(items, item)
}

func remove[T namedItem](items []T, wanted string) ([]T, bool) {
	for index := range items {
		if items[index].name() == wanted {
			return slices.Delete(items, index, index+1), true
		}
	}
	return items, false
}

// canonicalize sorts the lists, so that equal configurations have equal
// encodings: classes by order, services by name, groups by range, servers by
// ID.
func (c *Config) canonicalize() {
	if c.Classes == nil {
		c.Classes = []Class{}
	}
	if c.Services == nil {
		c.Services = []Service{}
	}
	slices.SortStableFunc(c.Classes, func(a, b Class) int { return a.Order - b.Order })
	slices.SortStableFunc(c.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	for _, service := range c.Services {
		slices.SortStableFunc(service.Groups, func(a, b Group) int { return cmp.Compare(a.Range.Start, b.Range.Start) })
		for _, group := range service.Groups {
			slices.SortStableFunc(group.Servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
		}
	}
}

func (c Config) clone() Config {
	services := make([]Service, 0, len(c.Services))
	for _, service := range c.Services {
		services = append(services, service.clone())
	}
	return Config{Classes: slices.Clone(c.Classes), Services: services}
}

func (s Service) clone() Service {
	groups := make([]Group, 0, len(s.Groups))
	for _, group := range s.Groups {
		group.Servers = slices.Clone(group.Servers)
		groups = append(groups, group)
	}
	s.Groups = groups
	return s
}
