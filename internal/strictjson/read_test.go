package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
)

func TestDecode(t *testing.T) {
	cases := []struct {
		name string
		text string
		want error
	}{
		{name: "document", text: `{"known":1}`},
		{name: "white space after", text: "{\"known\":1}\n"},
		{name: "missing field", text: "{}\n", want: ErrInvalidFields},
		{name: "unknown field", text: `{"known":1,"x":1}`, want: ErrInvalidFields},
		{name: "second document", text: `{"known":1}{}`, want: ErrSyntax},
		{name: "no JSON", text: `known`, want: ErrSyntax},
		{name: "empty", text: ``, want: ErrSyntax},
		{name: "at the bound", text: `{"known":12345678}`},
		{name: "over the bound", text: `{"known":123456789}`, want: ErrTooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			target := struct {
				Known int `json:"known"`
			}{}
			limits := Limits{Bytes: int64(len(`{"known":12345678}`))}
			err := Decode(strings.NewReader(test.text), limits, &target)
			if !errors.Is(err, test.want) {
				t.Errorf("error is %v, want %v", err, test.want)
			}
		})
	}
}

func TestMergeKeepsOmittedFields(t *testing.T) {
	target := document{Name: "kept", Number: 1, Items: []inner{{Count: 1}}}
	if err := Merge([]byte(`{"number":2,"items":null}`), limits, &target); err != nil {
		t.Fatal(err)
	}
	if target.Name != "kept" || target.Number != 2 || target.Items != nil {
		t.Fatalf("got %+v", target)
	}
	if err := Merge([]byte(`{"numbers":2}`), limits, &target); !errors.Is(err, ErrInvalidFields) {
		t.Fatalf("Merge with an unknown field returned %v, want ErrInvalidFields", err)
	}
}

// FuzzUnmarshal checks that no input causes a panic, and that an accepted input
// gives the same result with encoding/json, which also accepts it with
// DisallowUnknownFields.
func FuzzUnmarshal(f *testing.F) {
	for _, seed := range []string{
		`{"name":"a"}`, `{"n\u0061me":"a","items":[{"count":1,"share":0.5}],"raw":{"a":["]"]},"strings":{"x":1}}`,
		`{"name":"\"","x":{}}`, ` [ ] `, `{"name":null}`, `"`, `{"name":"a","at":"2026-12-02T07:00:00Z"}`, `{"name":"\\"} {}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var target, reference document
		if Unmarshal(data, limits, &target) != nil {
			return
		}
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&reference); err != nil {
			t.Fatalf("accepted %q, which encoding/json rejects: %v", data, err)
		}
		if !reflect.DeepEqual(target, reference) {
			t.Fatalf("decoded %+v, want %+v", target, reference)
		}
	})
}
