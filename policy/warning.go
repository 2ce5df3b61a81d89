package policy

import "fmt"

// Warning describes a part of a valid configuration that is likely to cause
// problems.
type Warning struct {
	// Field is the path of the value concerned.
	Field string `json:"field"`
	// Message describes the expected problem.
	Message string `json:"message"`
}

// Thresholds above which a warning is given, and the maximum number of warnings.
const (
	headroomSumWarningThreshold = 0.5
	hedgeShareWarningThreshold  = 0.1
	maximumWarnings             = 100
)

// warningList collects warnings, up to maximumWarnings.
type warningList struct{ warnings []Warning }

func (l *warningList) add(field, format string, arguments ...any) {
	if len(l.warnings) < maximumWarnings {
		l.warnings = append(l.warnings, Warning{Field: field, Message: fmt.Sprintf(format, arguments...)})
	}
}

// collectWarnings returns the warnings about the change from one valid
// configuration to another. nodes is the number of live nodes, which share each
// server's connections.
func collectWarnings(before, after Config, nodes int) []Warning {
	list := &warningList{warnings: []Warning{}}
	addRemovalWarnings(list, before, after)
	addClassWarnings(list, after.Classes)
	for _, service := range after.Services {
		addServiceWarnings(list, service, nodes)
	}
	return list.warnings
}

func addRemovalWarnings(list *warningList, before, after Config) {
	for _, class := range before.Classes {
		if _, found := after.Class(class.Name); !found {
			list.add(fmt.Sprintf("classes[%s]", class.Name), "is removed: requests that name it will be refused")
		}
	}
	for _, service := range before.Services {
		if _, found := after.Service(service.Name); !found {
			list.add(fmt.Sprintf("services[%s]", service.Name), "is removed: requests that name it will be refused")
		}
	}
}

func addClassWarnings(list *warningList, classes []Class) {
	if sum := headroomSum(classes); sum > headroomSumWarningThreshold {
		list.add("classes", "headroom adds up to %.2f: the class served last keeps %.2f of each server", sum, 1-sum)
	}
	for _, class := range classes {
		if class.HedgeShare > hedgeShareWarningThreshold {
			list.add(fmt.Sprintf("classes[%s].hedge_share", class.Name),
				"up to %.0f%% extra load by this class", class.HedgeShare*100)
		}
	}
}

func addServiceWarnings(list *warningList, service Service, nodes int) {
	for _, group := range service.Groups {
		path := fmt.Sprintf("services[%s].groups[%s]", service.Name, group.Name)
		if len(group.Servers) == 1 && len(service.Groups) > 1 {
			list.add(path+".servers", "has one server only: its loss leaves %v uncovered", group.Range)
		}
		for _, server := range group.Servers {
			serverPath := fmt.Sprintf("%s.servers[%s]", path, server.ID)
			if server.Connections < server.Slots {
				list.add(serverPath+".connections", "%d connections can't fill %d slots", server.Connections, server.Slots)
			}
			if nodes > server.Connections {
				list.add(serverPath+".connections", "%d live nodes share %d connections: some nodes have none of their own", nodes, server.Connections)
			}
		}
	}
}
