package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"regexp"
	"strings"
	"time"
)

// unknownFieldPattern finds the name in encoding/json's error.
var unknownFieldPattern = regexp.MustCompile(`unknown field "(.*)"`)

// documentField stands for the whole document where no single field is at fault.
const documentField = "document"

// parseRequest reads and checks a request's JSON document. Every error is a
// *FieldError. The request ID is returned as far as it is known.
func parseRequest(service string, body io.Reader, limit int64) (Request, error) {
	document, err := readDocument(body, limit)
	if err != nil {
		return Request{}, err
	}
	request := Request{Service: service, Body: document.Body}
	if err := request.takeIdentity(document); err != nil {
		return request, err
	}
	return request, request.takeConditions(document)
}

func readDocument(body io.Reader, limit int64) (requestDocument, error) {
	var document requestDocument
	raw, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return document, &FieldError{Field: documentField, Detail: "the body could not be read whole"}
	}
	if int64(len(raw)) > limit {
		return document, &FieldError{
			Field: documentField, Detail: fmt.Sprintf("the body is over the limit of %d bytes", limit),
			Status: http.StatusRequestEntityTooLarge, Reason: reasonBodyTooLarge,
		}
	}
	if field, found := duplicateField(raw); found {
		return document, &FieldError{Field: field, Detail: "the field is given twice"}
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return document, jsonFault(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return document, &FieldError{Field: documentField, Detail: "something follows the JSON object"}
	}
	return document, nil
}

// duplicateField finds a member of the top object that is given twice, also in
// another case, which encoding/json would silently merge.
func duplicateField(raw []byte) (string, bool) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return "", false
	}
	seen := make(map[string]bool)
	for decoder.More() {
		token, err := decoder.Token()
		name, isName := token.(string)
		if err != nil || !isName {
			return "", false
		}
		folded := strings.ToLower(name)
		if seen[folded] {
			return folded, true
		}
		seen[folded] = true
		var value json.RawMessage
		if decoder.Decode(&value) != nil {
			return "", false
		}
	}
	return "", false
}

func jsonFault(err error) *FieldError {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return &FieldError{Field: wrongType.Field, Detail: "must not be a JSON " + wrongType.Value}
	}
	if match := unknownFieldPattern.FindStringSubmatch(err.Error()); match != nil {
		return &FieldError{Field: match[1], Detail: "no such field"}
	}
	return &FieldError{Field: documentField, Detail: "the body is not a JSON object of the expected form"}
}

func (r *Request) takeIdentity(document requestDocument) error {
	switch {
	case document.RequestID == nil:
		return &FieldError{Field: "request_id", Detail: "is required"}
	case !validRequestID(*document.RequestID):
		return &FieldError{
			Field: "request_id", Detail: fmt.Sprintf("must be 1 to %d printable ASCII characters without spaces", MaximumRequestIDLength),
		}
	}
	r.RequestID = *document.RequestID
	if document.Class == nil || *document.Class == "" {
		return &FieldError{Field: "class", Detail: "is required"}
	}
	r.Class = *document.Class
	if document.Repeatable == nil {
		return &FieldError{Field: "repeatable", Detail: "is required"}
	}
	r.Repeatable = *document.Repeatable
	return nil
}

func (r *Request) takeConditions(document requestDocument) error {
	if document.DeadlineMillis != nil {
		deadline, err := parseDeadline(*document.DeadlineMillis)
		if err != nil {
			return err
		}
		r.Deadline = deadline
	}
	if document.MinimumCoverage != nil {
		minimum := *document.MinimumCoverage
		if minimum < 0 || minimum > 1 {
			return &FieldError{Field: "minimum_coverage", Detail: "must be from 0 to 1"}
		}
		r.MinimumCoverage = minimum
	}
	if len(r.Body) == 0 {
		return &FieldError{Field: "body", Detail: "is required"}
	}
	return nil
}

func parseDeadline(milliseconds float64) (time.Duration, error) {
	limit := float64(MaximumDeadline / time.Millisecond)
	if math.IsNaN(milliseconds) || milliseconds < 1 || milliseconds > limit {
		return 0, &FieldError{Field: "deadline_ms", Detail: fmt.Sprintf("must be from 1 to %.0f", limit)}
	}
	return time.Duration(milliseconds * float64(time.Millisecond)), nil
}

func validRequestID(id string) bool {
	if id == "" || len(id) > MaximumRequestIDLength {
		return false
	}
	for _, character := range []byte(id) {
		if character <= ' ' || character > '~' {
			return false
		}
	}
	return true
}
