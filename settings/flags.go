package settings

import (
	"flag"
	"fmt"
	"reflect"
)

// RegisterFlags declares one flag per setting, named by its path, such as
// -listen.caller, with the setting's description and default as help. Flags
// that are given land in the returned map, which is ready for Load once the
// flag set is parsed.
func RegisterFlags(flags *flag.FlagSet) map[string]string {
	overrides := make(map[string]string)
	for _, setting := range declared() {
		path := setting.path
		flags.Func(path, setting.help(), func(text string) error {
			overrides[path] = text
			return nil
		})
	}
	return overrides
}

// Paths lists the paths of all settings, in the order of their declaration.
func Paths() []string {
	settings := declared()
	paths := make([]string, 0, len(settings))
	for _, setting := range settings {
		paths = append(paths, setting.path)
	}
	return paths
}

// setting is one setting as it is declared.
type setting struct {
	path string
	// fallback is the default value; nil for a setting without one.
	fallback any
}

// help is the text that explains the setting's flag.
func (s setting) help() string {
	if s.fallback == nil {
		return descriptions[s.path]
	}
	return fmt.Sprintf("%s (default %v)", descriptions[s.path], s.fallback)
}

// declared lists all settings, in the order of their declaration.
func declared() []setting {
	return appendSettings(nil, "", reflect.ValueOf(Default()))
}

func appendSettings(settings []setting, prefix string, structure reflect.Value) []setting {
	for index := range structure.NumField() {
		value := structure.Field(index)
		path := prefix + structure.Type().Field(index).Tag.Get("koanf")
		if value.Kind() == reflect.Struct {
			settings = appendSettings(settings, path+pathDelimiter, value)
			continue
		}
		declared := setting{path: path}
		if value.Kind() != reflect.String || value.String() != "" {
			declared.fallback = value.Interface()
		}
		settings = append(settings, declared)
	}
	return settings
}
