package policy

import (
	"fmt"
	"testing"

	"github.com/banksail/banksail/coverage"
)

// largeConfig returns a configuration of one service with the given number of
// servers, two per group.
func largeConfig(servers int) Config {
	const replicas = 2
	groups := uint64(servers / replicas)
	service := Service{Name: "search", KeySpace: coverage.Range{Start: 0, End: groups << 20}}
	for index := range groups {
		group := Group{Name: fmt.Sprintf("g%04d", index), Range: coverage.Range{Start: index << 20, End: (index + 1) << 20}}
		for replica := range replicas {
			added := testServer(fmt.Sprintf("search-g%04d-r%02d", index, replica))
			added.Address = fmt.Sprintf("10.%d.%d.%d:8080", replica, index/256, index%256)
			group.Servers = append(group.Servers, added)
		}
		service.Groups = append(service.Groups, group)
	}
	config := testConfig()
	config.Services = []Service{service}
	return config
}

func BenchmarkChange(b *testing.B) {
	for _, servers := range []int{50, 500, 5500} {
		base, next := largeRecords(b, servers)
		data, err := EncodeRecord(next)
		if err != nil {
			b.Fatal(err)
		}
		encodedDelta, _ := EncodeDelta(next, RecordDigest(data))
		delta, err := DecodeDelta(encodedDelta)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("decode record/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := DecodeRecord(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "record-bytes")
		})
		b.Run(fmt.Sprintf("apply delta/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := ApplyDelta(base, delta); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encodedDelta)), "delta-bytes")
		})
	}
}

func largeRecords(b *testing.B, servers int) (base, next Record) {
	b.Helper()
	first, err := NewPlan(PlanOptions{ID: "first", Intent: replaceIntent(largeConfig(servers))})
	if err != nil {
		b.Fatal(err)
	}
	made, err := Decide(Record{}, first, confirmedAt)
	if err != nil {
		b.Fatal(err)
	}
	intent := classIntent("ann", func(class *Class) { class.Deadline = 80 })
	second, err := NewPlan(PlanOptions{ID: "3f0c6a0e-7a59-4f7e-9f5e-0a6a3e1d2c4b", Base: made.Next, Intent: intent})
	if err != nil {
		b.Fatal(err)
	}
	changed, err := Decide(made.Next, second, confirmedAt)
	if err != nil {
		b.Fatal(err)
	}
	return made.Next, changed.Next
}
