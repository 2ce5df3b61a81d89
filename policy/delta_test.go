package policy

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/banksail/banksail/coverage"
)

// newDeltaFixture returns a record, its successor with its encoding, and the
// delta between them.
func newDeltaFixture(t *testing.T) (base, next Record, data, delta []byte) {
	t.Helper()
	base = firstRecord(t)
	next = mustDecide(t, base, mustPlan(t, "p", base, classIntent("ann", func(class *Class) { class.Deadline = 80 })))
	data, err := EncodeRecord(next)
	if err != nil {
		t.Fatal(err)
	}
	delta, ok := EncodeDelta(next, RecordDigest(data))
	if !ok {
		t.Fatal("EncodeDelta returned no delta")
	}
	return base, next, data, delta
}

func TestDeltaReproducesTheRecordByteForByte(t *testing.T) {
	base, _, want, encodedDelta := newDeltaFixture(t)
	if !IsDelta(encodedDelta) || IsDelta(want) {
		t.Fatal("IsDelta does not distinguish a delta from a record")
	}
	delta, err := DecodeDelta(encodedDelta)
	if err != nil {
		t.Fatal(err)
	}
	// Encode and decode the base, as happens when nodes transfer it.
	wire, err := EncodeRecord(base)
	if err != nil {
		t.Fatal(err)
	}
	base, err = DecodeRecord(wire)
	if err != nil {
		t.Fatal(err)
	}
	_, got, err := ApplyDelta(base, delta)
	if err != nil || !bytes.Equal(got, want) {
		t.Fatalf("got %s, %v; want %s", got, err, want)
	}
}

func TestMismatchedDeltaIsRejected(t *testing.T) {
	base, next, _, encodedDelta := newDeltaFixture(t)
	delta, err := DecodeDelta(encodedDelta)
	if err != nil {
		t.Fatal(err)
	}
	other := base
	other.Config = base.Config.clone()
	other.Config.Classes[1].Deadline = 6000
	altered := delta
	altered.PlanID = "q"
	cases := map[string]struct {
		base  Record
		delta Delta
	}{
		"revision is not the next": {next, delta},
		"another base":             {other, delta},
		"altered delta":            {base, altered},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if _, _, err := ApplyDelta(test.base, test.delta); !errors.Is(err, ErrDeltaMismatch) {
				t.Fatalf("got %v, want ErrDeltaMismatch", err)
			}
		})
	}
}

func TestLargeIntentHasNoDelta(t *testing.T) {
	base := firstRecord(t)
	const groups = 1000
	large := Service{Name: "large", KeySpace: coverage.Range{Start: 0, End: groups}}
	for index := range uint64(groups) {
		large.Groups = append(large.Groups, Group{
			Name:    fmt.Sprintf("g%d", index),
			Range:   coverage.Range{Start: index, End: index + 1},
			Servers: []Server{testServer("s")},
		})
	}
	config := testConfig()
	config.Services = append(config.Services, large)
	next := mustDecide(t, base, mustPlan(t, "large", base, replaceIntent(config)))
	if next.LastIntent != nil {
		t.Fatal("the record has kept a large intent")
	}
	if _, ok := EncodeDelta(next, ""); ok {
		t.Fatal("EncodeDelta returned a delta for a large intent")
	}
}

func FuzzDecodeDelta(f *testing.F) {
	f.Add([]byte(`{"delta":{"format":1,"revision":2,"plan_id":"p","intent":{"author":"ann","changes":[{"remove_class":"urgent"}]},"confirmed_at":"2026-12-02T07:00:00Z","record_digest":""}}`))
	f.Add([]byte(`{"delta":{}}`))
	f.Add([]byte(`{"delta":[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]}`))
	base := Record{Format: RecordFormat, Revision: 1, Config: testConfig(), History: []HistoryEntry{}, RecentPlans: []AppliedPlan{}}
	f.Fuzz(func(t *testing.T, data []byte) {
		delta, err := DecodeDelta(data)
		if err != nil {
			return
		}
		_, record, err := ApplyDelta(base, delta)
		if err != nil {
			return
		}
		if RecordDigest(record) != delta.RecordDigest {
			t.Fatal("a delta was applied although the digest of its result differs")
		}
	})
}
