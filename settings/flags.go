package settings

import (
	"flag"
	"reflect"
)

// RegisterFlags declares one flag per setting, named by its path, such as
// -listen.caller. Flags that are given land in the returned map, which is
// ready for Load once the flag set is parsed.
func RegisterFlags(flags *flag.FlagSet) map[string]string {
	overrides := make(map[string]string)
	for _, path := range Paths() {
		flags.Func(path, "overrides the setting "+path, func(text string) error {
			overrides[path] = text
			return nil
		})
	}
	return overrides
}

// Paths lists the paths of all settings, in the order of their declaration.
func Paths() []string {
	return appendPaths(nil, "", reflect.TypeFor[Settings]())
}

func appendPaths(paths []string, prefix string, structure reflect.Type) []string {
	for index := range structure.NumField() {
		field := structure.Field(index)
		path := prefix + field.Tag.Get("koanf")
		if field.Type.Kind() == reflect.Struct {
			paths = appendPaths(paths, path+pathDelimiter, field.Type)
			continue
		}
		paths = append(paths, path)
	}
	return paths
}
