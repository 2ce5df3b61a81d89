package store

import (
	"errors"
	"net/http"
	"testing"

	"github.com/banksail/banksail/internal/httpcall"
)

func FuzzDecodeRecord(f *testing.F) {
	f.Add(200, `"12"`, []byte("value"))
	f.Add(200, `W/"12"`, []byte("value"))
	f.Add(200, `"0"`, []byte{})
	f.Add(304, ``, []byte{})
	f.Add(429, `"18446744073709551616"`, []byte{})
	f.Fuzz(func(t *testing.T, code int, tag string, body []byte) {
		header := http.Header{}
		header.Set("ETag", tag)
		record, err := decodeRecord(httpcall.Reply{Code: code, Header: header, Body: body})
		if err == nil && (code != http.StatusOK || record.Revision == 0) {
			t.Fatalf("accepted %+v with HTTP status %d", record, code)
		}
		if err == nil && FormatETag(record.Revision) != tag && len(tag) < len(FormatETag(record.Revision)) {
			t.Fatalf("parsed revision %d from %q", record.Revision, tag)
		}
	})
}

func FuzzDecodeGrant(f *testing.F) {
	f.Add([]byte(`{"lease":"lease-1"}`))
	f.Add([]byte(`{"lease":"../records/x"}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		lease, err := decodeGrant(body)
		if err != nil {
			if !errors.Is(err, ErrOutcomeUnknown) {
				t.Fatal(err)
			}
			return
		}
		if ValidateKey(string(lease)) != nil {
			t.Fatalf("accepted invalid lease ID %q", lease)
		}
	})
}
