package emulator

import (
	"encoding/json"

	"github.com/banksail/banksail/coverage"
)

// DefaultItemStride is the default distance between keys that hold an item.
const DefaultItemStride = 1024

// maximumItems bounds the number of items in one result.
const maximumItems = 4096

// Item is one entry of a Result. It carries its snapshot so that a checker can
// verify that all parts of an answer come from the same snapshot.
type Item struct {
	Key      uint64 `json:"key"`
	Snapshot uint64 `json:"snapshot"`
}

// Result is the body of a successful reply to a query.
type Result struct {
	RequestID string `json:"request_id"`
	Server    string `json:"server"`
	Items     []Item `json:"items"`
}

// Items returns the items of a key range in a snapshot: one at each multiple of
// the stride, at most maximumItems. The items of adjacent ranges together are
// the items of their union.
func Items(keys coverage.Range, snapshot, stride uint64) []Item {
	items := []Item{}
	first := keys.Start + (stride-keys.Start%stride)%stride
	for key := first; key >= keys.Start && key < keys.End && len(items) < maximumItems; key += stride {
		items = append(items, Item{Key: key, Snapshot: snapshot})
	}
	return items
}

func encodeResult(result Result) json.RawMessage {
	data, err := json.Marshal(result)
	if err != nil {
		return json.RawMessage(`null`)
	}
	return data
}
