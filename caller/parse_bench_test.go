package caller

import (
	"bytes"
	"testing"
)

func BenchmarkParseRequest(b *testing.B) {
	document := []byte(validBody)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parseRequest("catalog", bytes.NewReader(document), testLimit); err != nil {
			b.Fatal(err)
		}
	}
}
