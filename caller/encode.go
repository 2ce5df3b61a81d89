package caller

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// partOverhead is the approximate size in bytes of an encoded part without its body.
const partOverhead = 96

// emptyParts is the encoding of an empty list of parts by encoding/json.
var emptyParts = []byte(`"parts":[]`)

// encode returns the JSON encoding of the answer. It copies the bodies of the parts unchanged:
// they were validated when the servers' replies were read, and encoding/json would scan each byte
// again.
func (a Answer) encode() ([]byte, error) {
	parts := a.Parts
	a.Parts = []Part{}
	envelope, err := json.Marshal(a)
	if err != nil {
		return nil, err
	}
	// The first match is the parts field: request_id is the only earlier field with free text,
	// and quotation marks in it are escaped.
	before, after, _ := bytes.Cut(envelope, emptyParts)
	size := len(envelope)
	for _, part := range parts {
		size += len(part.Body) + partOverhead
	}
	document := make([]byte, 0, size)
	document = append(document, before...)
	document = append(document, `"parts":[`...)
	for index, part := range parts {
		if index > 0 {
			document = append(document, ',')
		}
		document = part.appendTo(document)
	}
	document = append(document, ']')
	return append(document, after...), nil
}

func (p Part) appendTo(document []byte) []byte {
	document = append(document, `{"range":{"start":`...)
	document = strconv.AppendUint(document, p.Range.Start, 10)
	document = append(document, `,"end":`...)
	document = strconv.AppendUint(document, p.Range.End, 10)
	document = append(document, `},"body":`...)
	if len(p.Body) == 0 {
		document = append(document, "null"...)
	} else {
		document = append(document, p.Body...)
	}
	return append(document, '}')
}
