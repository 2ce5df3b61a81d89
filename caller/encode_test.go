package caller

import (
	"encoding/json"
	"testing"

	"github.com/banksail/banksail/coverage"
)

func TestAnswerEncodingMatchesEncodingJSON(t *testing.T) {
	parts := []Part{
		{Range: coverage.Range{Start: 0, End: 10}, Body: json.RawMessage(`{"a":[1,"\u00e9<"]}`)},
		{Range: coverage.Range{Start: 10, End: 1 << 63}, Body: json.RawMessage(`null`)},
		{Range: coverage.Range{Start: 1 << 63, End: 1<<64 - 1}},
	}
	answers := map[string]Answer{
		"no parts":              {RequestID: "r", Missing: []coverage.Range{{Start: 1, End: 2}}, Parts: []Part{}, Warnings: []string{}},
		"one part":              {RequestID: "r", Parts: parts[:1], Warnings: []string{"partial"}},
		"several parts":         {RequestID: "r", Snapshot: 7, Coverage: 0.25, Parts: parts, Warnings: []string{}},
		"ID that looks like it": {RequestID: `"parts":[]`, Parts: parts[1:], Warnings: []string{}},
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			got, err := answer.encode()
			if err != nil {
				t.Fatal(err)
			}
			expected, err := json.Marshal(answer)
			if err != nil {
				t.Fatal(err)
			}
			var same, library any
			if json.Unmarshal(got, &same) != nil || json.Unmarshal(expected, &library) != nil {
				t.Fatalf("got %s", got)
			}
			gotCanonical, _ := json.Marshal(same)
			expectedCanonical, _ := json.Marshal(library)
			if string(gotCanonical) != string(expectedCanonical) {
				t.Errorf("got %s, expected %s", got, expected)
			}
		})
	}
}
