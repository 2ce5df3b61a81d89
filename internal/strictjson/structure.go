package strictjson

import (
	"encoding/json"
	"reflect"
	"strings"
	"sync"
)

// field is a field of a struct as JSON names it.
type field struct {
	name     string
	typ      reflect.Type
	required bool
}

// structure is what the walker needs to know of a struct type.
type structure struct {
	fields []field
	// positions gives the index in fields by name.
	positions map[string]int
}

// structures holds a *structure for each struct type that was met.
var structures sync.Map

// structureOf describes a struct type; embedded structs are not supported.
func structureOf(typ reflect.Type) *structure {
	if known, ok := structures.Load(typ); ok {
		return known.(*structure)
	}
	described := &structure{positions: make(map[string]int, typ.NumField())}
	for index := range typ.NumField() {
		member := typ.Field(index)
		name, options, _ := strings.Cut(member.Tag.Get("json"), ",")
		if !member.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = member.Name
		}
		described.positions[name] = len(described.fields)
		described.fields = append(described.fields, field{
			name: name, typ: resolve(member.Type), required: !strings.Contains(options, "omitempty"),
		})
	}
	structures.Store(typ, described)
	return described
}

// anyType is the type of values that are read, but not checked.
var anyType = reflect.TypeFor[any]()

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// resolve returns the type that a pointer points to, and anyType for types
// that read their JSON themselves.
func resolve(typ reflect.Type) reflect.Type {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	if typ.Kind() == reflect.Interface || reflect.PointerTo(typ).Implements(unmarshalerType) {
		return anyType
	}
	return typ
}
