package strictjson

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// fieldMode determines which fields a document must contain.
type fieldMode int

const (
	// allFields requires each field whose tag does not have omitempty.
	allFields fieldMode = iota
	// partialFields allows any field to be omitted.
	partialFields
)

// check compares a syntactically valid document with the type of target and
// returns a FieldsError if they do not match.
func check(data []byte, target any, fieldMode fieldMode) error {
	walker := &walker{scanner: scanner{data: data}, fieldMode: fieldMode}
	walker.value(resolve(reflect.TypeOf(target).Elem()))
	if len(walker.faults) > 0 {
		return &FieldsError{Faults: walker.faults}
	}
	return nil
}

// step is one element of a path: the name of a field, or an index if name is
// nil.
type step struct {
	name  []byte
	index int
}

// walker compares a document with a type. The types passed to its methods are
// those returned by resolve.
type walker struct {
	scanner   scanner
	fieldMode fieldMode
	// path is the path of the value being read.
	path   []step
	faults []Fault
}

// fault records a fault at the current path, up to maximumFaults.
func (w *walker) fault(problem string) {
	if len(w.faults) < maximumFaults {
		w.faults = append(w.faults, Fault{Path: w.pathText(), Problem: problem})
	}
}

// require records a fault unless ok is true.
func (w *walker) require(ok bool, problem string) {
	if !ok {
		w.fault(problem)
	}
}

// maximumNameBytes is the length to which field names are truncated in the path
// of a fault.
const maximumNameBytes = 64

// pathText returns the current path in the form of Fault.Path.
func (w *walker) pathText() string {
	text := &strings.Builder{}
	for index, step := range w.path {
		if step.name == nil {
			fmt.Fprintf(text, "[%d]", step.index)
			continue
		}
		if index > 0 {
			text.WriteByte('.')
		}
		name := step.name[:min(len(step.name), maximumNameBytes)]
		text.WriteString(strings.ToValidUTF8(string(name), "?"))
	}
	return text.String()
}

func (w *walker) enter(inner step) { w.path = append(w.path, inner) }

func (w *walker) leave() { w.path = w.path[:len(w.path)-1] }

// value reads one value and checks that it matches the type.
func (w *walker) value(typ reflect.Type) {
	if typ == anyType {
		w.scanner.skip()
		return
	}
	switch w.scanner.peek() {
	case '{':
		w.object(typ)
	case '[':
		w.list(typ)
	case '"':
		w.scanner.text()
		w.require(typ.Kind() == reflect.String, "must not be a string")
	case 't', 'f':
		w.scanner.scalar()
		w.require(typ.Kind() == reflect.Bool, "must not be a boolean")
	case 'n':
		w.scanner.scalar()
		w.require(w.fieldMode == partialFields && typ.Kind() == reflect.Slice, "must not be null")
	default:
		w.number(typ, string(w.scanner.scalar()))
	}
}

// number checks that a number fits the type, including its range.
func (w *walker) number(typ reflect.Type, number string) {
	var err error
	switch typ.Kind() {
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		_, err = strconv.ParseInt(number, 10, typ.Bits())
		w.require(err == nil, "must be a whole number within its bounds")
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		_, err = strconv.ParseUint(number, 10, typ.Bits())
		w.require(err == nil, "must be a whole number, not negative, within its bounds")
	case reflect.Float32, reflect.Float64:
		_, err = strconv.ParseFloat(number, typ.Bits())
		w.require(err == nil, "must be a number within its bounds")
	default:
		w.fault("must not be a number")
	}
}

// list reads a list and checks its elements.
func (w *walker) list(typ reflect.Type) {
	element := anyType
	if typ.Kind() == reflect.Slice || typ.Kind() == reflect.Array {
		element = resolve(typ.Elem())
	} else {
		w.fault("must not be a list")
	}
	w.scanner.next++
	for index := 0; w.scanner.more(']'); index++ {
		w.enter(step{index: index})
		w.value(element)
		w.leave()
	}
}

// object reads an object and checks its fields.
func (w *walker) object(typ reflect.Type) {
	switch typ.Kind() {
	case reflect.Struct:
		w.structure(structureOf(typ))
	case reflect.Map:
		w.mapping(resolve(typ.Elem()))
	default:
		w.fault("must not be an object")
		w.scanner.skip()
	}
}

// structure reads an object that is decoded into a struct.
func (w *walker) structure(described *structure) {
	seen := make([]bool, len(described.fields))
	var unknown [][]byte
	w.scanner.next++
	for w.scanner.more('}') {
		name := w.scanner.name()
		w.enter(step{name: name})
		position, known := described.positions[string(name)]
		if known {
			w.require(!seen[position], "is given twice")
			seen[position] = true
			w.value(described.fields[position].typ)
		} else {
			unknown = w.unknown(unknown, name)
		}
		w.leave()
	}
	if w.fieldMode == allFields {
		w.reportMissing(described, seen)
	}
}

// unknown skips the value of an unknown field and returns others with its name
// added. A repeated name is reported once; up to maximumFaults names are remembered.
func (w *walker) unknown(others [][]byte, name []byte) [][]byte {
	twice := slices.ContainsFunc(others, func(other []byte) bool { return string(other) == string(name) })
	if !twice {
		w.fault("is not a known field")
	}
	w.scanner.skip()
	if twice || len(others) == maximumFaults {
		return others
	}
	return append(others, name)
}

// reportMissing records a fault for each required field that was not seen.
func (w *walker) reportMissing(described *structure, seen []bool) {
	for position, field := range described.fields {
		if field.required && !seen[position] {
			w.enter(step{name: []byte(field.name)})
			w.fault("must be given")
			w.leave()
		}
	}
}

// mapping reads an object that is decoded into a map.
func (w *walker) mapping(element reflect.Type) {
	seen := map[string]bool{}
	w.scanner.next++
	for w.scanner.more('}') {
		name := w.scanner.name()
		w.enter(step{name: name})
		w.require(!seen[string(name)], "is given twice")
		seen[string(name)] = true
		w.value(element)
		w.leave()
	}
}
