package jsonfields

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// check walks the document beside the target's type.
func check(data []byte, depth int, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	walker := &walker{decoder: decoder, depth: depth}
	if err := walker.value("", reflect.TypeOf(target).Elem()); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: bytes after the document", ErrSyntax)
	}
	if len(walker.faults) > 0 {
		return &FieldsError{Faults: walker.faults}
	}
	return nil
}

type walker struct {
	decoder *json.Decoder
	// depth is how many more levels may be opened.
	depth  int
	faults []Fault
}

func (w *walker) fault(path, format string, arguments ...any) {
	if len(w.faults) < maximumFaults {
		w.faults = append(w.faults, Fault{Path: path, Problem: fmt.Sprintf(format, arguments...)})
	}
}

func (w *walker) token() (json.Token, error) {
	token, err := w.decoder.Token()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSyntax, err)
	}
	return token, nil
}

// anyType is the type of values that are read, but not checked.
var anyType = reflect.TypeFor[any]()

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// value reads one value that should fit the type.
func (w *walker) value(path string, kind reflect.Type) error {
	token, err := w.token()
	if err != nil {
		return err
	}
	for kind.Kind() == reflect.Pointer {
		kind = kind.Elem()
	}
	if kind.Kind() == reflect.Interface || reflect.PointerTo(kind).Implements(unmarshalerType) {
		kind = anyType
	}
	switch token := token.(type) {
	case json.Delim:
		return w.nested(path, kind, token)
	case nil:
		w.require(path, kind == anyType, "must not be null")
	case bool:
		w.require(path, accepts(kind, reflect.Bool), "must not be a boolean")
	case string:
		w.require(path, accepts(kind, reflect.String), "must not be a string")
	case json.Number:
		w.number(path, kind, token)
	}
	return nil
}

func accepts(kind reflect.Type, wanted ...reflect.Kind) bool {
	return kind == anyType || slices.Contains(wanted, kind.Kind())
}

func (w *walker) require(path string, ok bool, problem string) {
	if !ok {
		w.fault(path, "%s", problem)
	}
}

func (w *walker) number(path string, kind reflect.Type, number json.Number) {
	var err error
	switch {
	case kind == anyType:
		return
	case kind.Kind() >= reflect.Int && kind.Kind() <= reflect.Int64:
		_, err = strconv.ParseInt(number.String(), 10, kind.Bits())
		w.require(path, err == nil, "must be a whole number within its bounds")
	case kind.Kind() >= reflect.Uint && kind.Kind() <= reflect.Uint64:
		_, err = strconv.ParseUint(number.String(), 10, kind.Bits())
		w.require(path, err == nil, "must be a whole number, not negative, within its bounds")
	case kind.Kind() == reflect.Float32 || kind.Kind() == reflect.Float64:
		_, err = strconv.ParseFloat(number.String(), kind.Bits())
		w.require(path, err == nil, "must be a number within its bounds")
	default:
		w.fault(path, "must not be a number")
	}
}

// nested reads an object or a list whose opening token was read.
func (w *walker) nested(path string, kind reflect.Type, open json.Delim) error {
	if w.depth == 0 {
		return fmt.Errorf("%w: at %s", ErrTooDeep, path)
	}
	w.depth--
	defer func() { w.depth++ }()
	if open == '[' {
		return w.list(path, kind)
	}
	return w.object(path, kind)
}

func (w *walker) list(path string, kind reflect.Type) error {
	element := anyType
	switch {
	case accepts(kind, reflect.Slice, reflect.Array) && kind != anyType:
		element = kind.Elem()
	case kind != anyType:
		w.fault(path, "must not be a list")
	}
	for index := 0; w.decoder.More(); index++ {
		if err := w.value(fmt.Sprintf("%s[%d]", path, index), element); err != nil {
			return err
		}
	}
	_, err := w.token()
	return err
}

func (w *walker) object(path string, kind reflect.Type) error {
	fields := fieldsOf(kind)
	if fields == nil && !accepts(kind, reflect.Map) {
		w.fault(path, "must not be an object")
	}
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		if seen[name] {
			w.fault(join(path, name), "is given twice")
		}
		seen[name] = true
		if err := w.value(join(path, name), w.fieldType(path, name, kind, fields)); err != nil {
			return err
		}
	}
	for _, field := range fields {
		if field.required && !seen[field.name] {
			w.fault(join(path, field.name), "must be given")
		}
	}
	_, err := w.token()
	return err
}

func (w *walker) fieldType(path, name string, kind reflect.Type, fields []field) reflect.Type {
	if fields == nil {
		if kind.Kind() == reflect.Map {
			return kind.Elem()
		}
		return anyType
	}
	for _, field := range fields {
		if field.name == name {
			return field.kind
		}
	}
	w.fault(join(path, name), "is not a known field")
	return anyType
}

func join(path, name string) string {
	const longestName = 64
	if len(name) > longestName {
		name = name[:longestName]
	}
	name = strings.ToValidUTF8(name, "?")
	if path == "" {
		return name
	}
	return path + "." + name
}

// field is a field of a struct as JSON names it.
type field struct {
	name     string
	kind     reflect.Type
	required bool
}

// fieldsOf lists a struct's fields; nil for other types. Embedded structs are not supported.
func fieldsOf(kind reflect.Type) []field {
	if kind.Kind() != reflect.Struct {
		return nil
	}
	fields := make([]field, 0, kind.NumField())
	for index := range kind.NumField() {
		member := kind.Field(index)
		name, options, _ := strings.Cut(member.Tag.Get("json"), ",")
		if !member.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = member.Name
		}
		fields = append(fields, field{name: name, kind: member.Type, required: !strings.Contains(options, "omitempty")})
	}
	return fields
}
