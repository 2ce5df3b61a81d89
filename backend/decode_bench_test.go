package backend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/banksail/banksail/coverage"
)

// BenchmarkDecodeReply decodes replies whose body lists the given number of
// items.
func BenchmarkDecodeReply(b *testing.B) {
	for _, items := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			request := &Request{AttemptID: "a1", Snapshot: 7, Range: coverage.Range{Start: 0, End: 1024}}
			data := encodeReply(b, request, items)
			b.SetBytes(int64(len(data)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := decodeReply(data, http.StatusOK, request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func encodeReply(b *testing.B, request *Request, items int) []byte {
	b.Helper()
	type item struct {
		Key      uint64 `json:"key"`
		Snapshot uint64 `json:"snapshot"`
	}
	body, err := json.Marshal(make([]item, items))
	if err != nil {
		b.Fatal(err)
	}
	data, err := json.Marshal(Reply{
		AttemptID: request.AttemptID, Status: StatusDone, Snapshot: &request.Snapshot, Range: &request.Range,
		Body: body, Snapshots: []uint64{6, 7}, Load: &Load{InFlight: 1},
	})
	if err != nil {
		b.Fatal(err)
	}
	return data
}
