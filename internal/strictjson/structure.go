package strictjson

import (
	"encoding/json"
	"reflect"
	"strings"
	"sync"
)

// field describes a struct field by its JSON name.
type field struct {
	name     string
	typ      reflect.Type
	required bool
}

// structure describes the fields of a struct type for the walker.
type structure struct {
	fields []field
	// positions maps a name to its index in fields.
	positions map[string]int
}

// structures caches a *structure for each reflect.Type of a struct.
var structures sync.Map

// structureOf returns the description of a struct type. Embedded structs are not
// supported.
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

// anyType stands for types whose values are skipped without a check.
var anyType = reflect.TypeFor[any]()

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// resolve dereferences pointer types. It returns anyType for interfaces and for
// types that implement json.Unmarshaler.
func resolve(typ reflect.Type) reflect.Type {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	if typ.Kind() == reflect.Interface || reflect.PointerTo(typ).Implements(unmarshalerType) {
		return anyType
	}
	return typ
}
