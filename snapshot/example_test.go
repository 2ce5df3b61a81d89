package snapshot_test

import (
	"fmt"

	"github.com/banksail/banksail/snapshot"
)

func Example() {
	catalog := snapshot.NewCatalog()
	catalog.Configure([]snapshot.Group{
		{Keys: 100, Servers: []string{"north-1", "north-2"}},
		{Keys: 100, Servers: []string{"south-1"}},
	})
	catalog.ServerSnapshots("north-1").RecordReport([]snapshot.ID{41, 42})
	catalog.ServerSnapshots("south-1").RecordReport([]snapshot.ID{41})
	choice, _ := catalog.Choose()
	fmt.Println("while 42 spreads:", choice.ID, choice.Complete)

	catalog.ServerSnapshots("south-1").RecordReport([]snapshot.ID{41, 42})
	choice, _ = catalog.Choose()
	fmt.Println("afterwards:", choice.ID, choice.Complete)
	// Output:
	// while 42 spreads: 41 true
	// afterwards: 42 true
}
