package quarantine_test

import (
	"errors"
	"testing"

	"github.com/banksail/banksail/quarantine"
)

func TestFingerprintCoversWholeRequest(t *testing.T) {
	base := quarantine.FingerprintOf("GET", "h.example", "/a/b?c=1", []byte("body"))
	if again := quarantine.FingerprintOf("GET", "h.example", "/a/b?c=1", []byte("body")); again != base {
		t.Error("equal requests have different fingerprints")
	}
	others := map[string]quarantine.Fingerprint{
		"method":            quarantine.FingerprintOf("POST", "h.example", "/a/b?c=1", []byte("body")),
		"host":              quarantine.FingerprintOf("GET", "g.example", "/a/b?c=1", []byte("body")),
		"path":              quarantine.FingerprintOf("GET", "h.example", "/a/d?c=1", []byte("body")),
		"query":             quarantine.FingerprintOf("GET", "h.example", "/a/b?c=2", []byte("body")),
		"body":              quarantine.FingerprintOf("GET", "h.example", "/a/b?c=1", []byte("bodies")),
		"no body":           quarantine.FingerprintOf("GET", "h.example", "/a/b?c=1", nil),
		"borders of fields": quarantine.FingerprintOf("GET", "h.example/", "a/b?c=1", []byte("body")),
	}
	for what, other := range others {
		if other == base {
			t.Errorf("fingerprint does not depend on: %s", what)
		}
	}
}

func TestFingerprintRoundTrip(t *testing.T) {
	fingerprint := quarantine.FingerprintOf("GET", "h.example", "/", nil)
	if read, err := quarantine.ParseFingerprint(fingerprint.String()); err != nil || read != fingerprint {
		t.Errorf("read %v, %v; want %v", read, err, fingerprint)
	}
	for _, text := range []string{"", "zz", fingerprint.String()[2:], fingerprint.String() + "00"} {
		if _, err := quarantine.ParseFingerprint(text); !errors.Is(err, quarantine.ErrInvalidFingerprint) {
			t.Errorf("%q: %v, want ErrInvalidFingerprint", text, err)
		}
	}
}
