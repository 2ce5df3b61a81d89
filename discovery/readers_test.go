package discovery

import (
	"fmt"
	"testing"
)

func TestReadersHaveHighestCapacity(t *testing.T) {
	var nodes []Node
	for number := range 500 {
		id := fmt.Sprintf("node-%03d", number)
		n := Node{ID: id, Peer: id, Capacity: 0.2}
		if number%10 == 0 {
			n.Capacity = 0.8
		}
		nodes = append(nodes, n)
	}
	readers := selectReaders(nodes)
	if len(readers) != 4 {
		t.Errorf("%d readers among 500 nodes, want 3 and one in reserve", len(readers))
	}
	for _, reader := range readers {
		if reader.Capacity != 0.8 {
			t.Errorf("%s is a reader although other nodes have more capacity", reader.ID)
		}
	}
	for i := range nodes {
		nodes[i].Leaving = nodes[i].Capacity == 0.8
	}
	if readers = selectReaders(nodes); len(readers) != 4 || readers[0].Leaving {
		t.Errorf("%d readers once the nodes with most capacity are leaving, want 4 that stay", len(readers))
	}
}
