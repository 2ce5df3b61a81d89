package spread

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkUnchangedMembers measures the cost of an unchanged member list,
// which a node processes every second.
func BenchmarkUnchangedMembers(b *testing.B) {
	for _, count := range []int{100, 1400} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			members := []Member{}
			for index := range count {
				members = append(members, Member{ID: fmt.Sprintf("node-%04d", index), Zone: fmt.Sprintf("zone-%d", index%8), Revision: 1})
			}
			core := NewCore(CoreOptions{Self: "node-0000", Zone: "zone-0"})
			core.Step(0, RecordOffered{Revision: 1})
			b.ReportAllocs()
			for b.Loop() {
				core.Step(time.Second, MembersChanged{Members: members})
			}
		})
	}
}
