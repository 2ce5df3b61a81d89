package record_test

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/banksail/banksail/record"
)

// Top returns the same records as sorting all of them. The parts contain
// duplicates and incomplete records at their end.
func TestTopMatchesFullSort(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var parts [][]byte
		var all [][]byte
		for range random.IntN(6) {
			part := make([]byte, random.IntN(20)*record.Size+random.IntN(record.Size))
			for i := range part {
				part[i] = byte(random.IntN(3)) // few values, so that there are many duplicates
			}
			parts = append(parts, part)
			for ; len(part) >= record.Size; part = part[record.Size:] {
				all = append(all, part[:record.Size])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		count := random.IntN(30)
		want := bytes.Join(all[:min(count, len(all))], nil)
		if got := record.Top(parts, count); !bytes.Equal(got, want) {
			t.Fatalf("%d of %d records: %d bytes, want %d", count, len(all), len(got), len(want))
		}
	}
}
