package policy

import (
	"encoding/json"
	"testing"
)

func encodeJSON(value any) []byte {
	data, _ := json.Marshal(value)
	return data
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add(encodeJSON(Record{Format: RecordFormat, Revision: 1, Config: testConfig(), History: []HistoryEntry{}, RecentPlans: []AppliedPlan{}}))
	f.Add([]byte(`{"format":1,"revision":1,"config":{"classes":[],"services":[]},"history":[],"recent_plans":[]}`))
	f.Add([]byte(`{"format":9}`))
	f.Add([]byte(`{"history":[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeRecord(data)
		if err != nil {
			return
		}
		again, err := EncodeRecord(record)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeRecord(again); err != nil {
			t.Fatalf("a decoded record cannot be decoded again after encoding: %v", err)
		}
	})
}

func FuzzDecodeIntent(f *testing.F) {
	class := testConfig().Classes[0]
	service := testConfig().Services[0]
	f.Add(encodeJSON(Intent{Author: "ann", Changes: []Change{{SetClass: &class}, {RemoveClass: "billing"}, {SetService: &service}}}))
	f.Add(encodeJSON(replaceIntent(testConfig())))
	f.Add([]byte(`{"author":"ann","changes":[{"replace":{"classes":[],"services":[]}}]}`))
	f.Add([]byte(`{"changes":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		intent, err := DecodeIntent(data)
		if err != nil {
			return
		}
		next, err := Apply(testConfig(), intent)
		if err != nil {
			return
		}
		if err := Validate(next); err != nil {
			t.Fatalf("an intent produced an invalid configuration: %v", err)
		}
	})
}

func FuzzDecodePlan(f *testing.F) {
	plan, err := NewPlan(PlanOptions{ID: "p", Intent: replaceIntent(testConfig())})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encodeJSON(plan))
	f.Add([]byte(`{"format":1,"id":"p","base_revision":0,"intent":{"changes":[]},"differences":[],"warnings":[],"digest":""}`))
	f.Add([]byte(`{"differences":[{"field":"a","before":{"deep":[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		plan, err := DecodePlan(data)
		if err != nil {
			return
		}
		decision, err := Decide(Record{}, plan, confirmedAt)
		if err != nil {
			return
		}
		if decision.Next.Revision != 1 {
			t.Fatalf("a plan created revision %d, want 1", decision.Next.Revision)
		}
	})
}
