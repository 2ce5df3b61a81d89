package strictjson

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"
)

type inner struct {
	Count int     `json:"count"`
	Share float64 `json:"share"`
}

type document struct {
	Name    string          `json:"name"`
	Number  uint64          `json:"number,omitempty"`
	Flag    bool            `json:"flag,omitempty"`
	Items   []inner         `json:"items,omitempty"`
	Single  *inner          `json:"single,omitempty"`
	Raw     json.RawMessage `json:"raw,omitempty"`
	At      time.Time       `json:"at,omitzero,omitempty"`
	Strings map[string]int  `json:"strings,omitempty"`
}

var limits = Limits{Bytes: 1000, Depth: 4}

func TestUnmarshalReportsPathOfInvalidField(t *testing.T) {
	cases := map[string]struct{ input, fault string }{
		"unknown field":             {`{"name":"a","other":1}`, "other is not a known field"},
		"unknown nested field":      {`{"name":"a","items":[{"count":1,"share":0},{"count":1,"share":0,"x":{}}]}`, "items[1].x is not a known field"},
		"name in another case":      {`{"Name":"a"}`, "Name is not a known field"},
		"missing field":             {`{}`, "name must be given"},
		"missing nested field":      {`{"name":"a","single":{"count":1}}`, "single.share must be given"},
		"field given twice":         {`{"name":"a","name":"b"}`, "name is given twice"},
		"null":                      {`{"name":null}`, "name must not be null"},
		"null in place of a struct": {`{"name":"a","single":null}`, "single must not be null"},
		"number for a string":       {`{"name":1}`, "name must not be a number"},
		"string for a number":       {`{"name":"a","number":"1"}`, "number must not be a string"},
		"negative":                  {`{"name":"a","number":-1}`, "number must be a whole number, not negative"},
		"fraction":                  {`{"name":"a","items":[{"count":1.5,"share":1}]}`, "items[0].count must be a whole number"},
		"out of range float":        {`{"name":"a","single":{"count":1,"share":1e999}}`, "single.share must be a number within"},
		"object for a list":         {`{"name":"a","items":{}}`, "items must not be an object"},
		"list for an object":        {`{"name":"a","single":[]}`, "single must not be a list"},
		"boolean for a number":      {`{"name":"a","number":true}`, "number must not be a boolean"},
		"object for a string":       {`{"name":{}}`, "name must not be an object"},
		"map value":                 {`{"name":"a","strings":{"x":"y"}}`, "strings.x must not be a string"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var target document
			err := Unmarshal([]byte(test.input), limits, &target)
			if !errors.Is(err, ErrInvalidFields) || !strings.Contains(err.Error(), test.fault) {
				t.Fatalf("got %v, want %q", err, test.fault)
			}
		})
	}
}

func TestUnmarshalRejectsInvalidDocuments(t *testing.T) {
	cases := map[string]struct {
		input string
		want  error
	}{
		"empty":               {``, ErrSyntax},
		"cut":                 {`{"name":"a"`, ErrSyntax},
		"trailing bytes":      {`{"name":"a"} {}`, ErrSyntax},
		"too large":           {`{"name":"` + strings.Repeat("a", 1000) + `"}`, ErrTooLarge},
		"too deep":            {`{"name":"a","raw":[[[[1]]]]}`, ErrTooDeep},
		"type's own decoder":  {`{"name":"a","at":"yesterday"}`, ErrSyntax},
		"deep unknown fields": {`{"name":"a","x":` + strings.Repeat("[", 400) + strings.Repeat("]", 400) + `}`, ErrTooDeep},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var target document
			if err := Unmarshal([]byte(test.input), limits, &target); !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
		})
	}
}

func TestUnmarshalReadsAllFields(t *testing.T) {
	var target document
	input := `{"name":"a","number":7,"flag":true,"items":[{"count":-1,"share":0.5}],"single":{"count":2,"share":1},
		"raw":{"any":[1]},"at":"2026-12-02T07:00:00Z","strings":{"x":1}}`
	if err := Unmarshal([]byte(input), limits, &target); err != nil {
		t.Fatal(err)
	}
	if target.Number != 7 || target.Items[0].Count != -1 || target.Single.Count != 2 || string(target.Raw) != `{"any":[1]}` {
		t.Fatalf("got %+v", target)
	}
}
