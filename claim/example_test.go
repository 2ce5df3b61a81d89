package claim_test

import (
	"fmt"

	"github.com/banksail/banksail/claim"
)

// Two nodes claim the same request, one after the other.
func Example() {
	owners := []string{"node-b", "node-c", "node-d"}
	tables := make(map[string]*claim.Table)
	for _, owner := range claim.Owners("orders/17", owners) {
		tables[owner] = claim.NewTable(claim.TableOptions{})
	}
	for _, node := range []string{"node-a", "node-e"} {
		request := claim.Claim{Key: "orders/17", Holder: claim.Holder{Node: node, Incarnation: 1}, Sequence: 1}
		round := claim.NewRound(len(tables))
		for _, table := range tables {
			round.AddAnswer(table.Claim(0, request))
		}
		if round.Decision() == claim.Won {
			fmt.Println(node, "may run it")
		} else {
			fmt.Println(node, "may not:", round.Holder().Node, "has it")
		}
	}
	// Output:
	// node-a may run it
	// node-e may not: node-a has it
}
