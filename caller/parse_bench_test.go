package caller

import (
	"bytes"
	"testing"
)

func BenchmarkParseRequest(b *testing.B) {
	document := []byte(validBody)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parseRequest("catalog", bytes.NewReader(document), maxTestBodyBytes); err != nil {
			b.Fatal(err)
		}
	}
}
