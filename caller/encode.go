package caller

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// partOverhead is about what a part takes beside its body, in bytes.
const partOverhead = 96

// emptyParts is how encoding/json writes no parts.
var emptyParts = []byte(`"parts":[]`)

// encode writes the answer as encoding/json does, but copies the parts' bodies
// as they are: they were checked when the servers' replies were read, and
// encoding/json would read each byte of them again.
func (a Answer) encode() ([]byte, error) {
	parts := a.Parts
	a.Parts = []Part{}
	envelope, err := json.Marshal(a)
	if err != nil {
		return nil, err
	}
	// No earlier field holds free text but request_id, in which a quotation mark
	// is escaped, so this is the field.
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
