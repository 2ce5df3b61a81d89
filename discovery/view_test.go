package discovery_test

import (
	"slices"
	"testing"

	"github.com/banksail/banksail/discovery"
)

// revisionPosition returns a position of a registry that reports no epoch.
func revisionPosition(revision discovery.Revision) discovery.Position {
	return discovery.Position{Revision: revision}
}

// Of several incarnations at one address only the latest is kept, in whatever order their entries
// arrive.
func TestLatestIncarnationAtAddressWins(t *testing.T) {
	old := discovery.Node{ID: "a.1", Address: "10.0.0.1:80"}
	restarted := discovery.Node{ID: "a.2", Address: "10.0.0.1:80"}
	other := discovery.Node{ID: "b.1", Address: "10.0.0.2:80"}
	want := []discovery.Node{restarted, other}
	for name, put := range map[string]func(v *discovery.View){
		"in order": func(v *discovery.View) {
			v.PutNode(old, revisionPosition(3))
			v.PutNode(other, revisionPosition(4))
			v.PutNode(restarted, revisionPosition(5))
		},
		"backwards": func(v *discovery.View) {
			v.PutNode(restarted, revisionPosition(5))
			v.PutNode(other, revisionPosition(4))
			v.PutNode(old, revisionPosition(3))
		},
	} {
		view := discovery.NewView(discovery.Options{})
		put(view)
		if got := view.Nodes(); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
}
