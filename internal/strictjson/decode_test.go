package strictjson_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/banksail/banksail/internal/strictjson"
)

func TestDecode(t *testing.T) {
	cases := []struct {
		name string
		text string
		want error
	}{
		{name: "document", text: `{"known":1}`},
		{name: "white space after", text: "{}\n"},
		{name: "unknown field", text: `{"other":1}`, want: strictjson.ErrInvalid},
		{name: "second document", text: `{}{}`, want: strictjson.ErrInvalid},
		{name: "no JSON", text: `known`, want: strictjson.ErrInvalid},
		{name: "empty", text: ``, want: strictjson.ErrInvalid},
		{name: "at the bound", text: `{"known":12345678}`},
		{name: "over the bound", text: `{"known":123456789}`, want: strictjson.ErrTooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			target := struct {
				Known int `json:"known"`
			}{}
			err := strictjson.Decode(strings.NewReader(test.text), int64(len(`{"known":12345678}`)), &target)
			if !errors.Is(err, test.want) {
				t.Errorf("error is %v, want %v", err, test.want)
			}
		})
	}
}
