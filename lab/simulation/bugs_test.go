package simulation

import "fmt"

func bugHooks(name string) (Hooks, error) {
	if name == "" {
		return Hooks{}, nil
	}
	return Hooks{}, fmt.Errorf("no bug %q", name)
}
