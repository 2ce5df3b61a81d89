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
	for _, setting := range declaredSettings() {
		path := setting.path
		flags.Func(path, setting.usage(), func(text string) error {
			overrides[path] = text
			return nil
		})
	}
	return overrides
}

// Paths lists the paths of all settings, in the order of their declaration.
func Paths() []string {
	settings := declaredSettings()
	paths := make([]string, 0, len(settings))
	for _, setting := range settings {
		paths = append(paths, setting.path)
	}
	return paths
}

// setting is one setting as it is declared.
type setting struct {
	path string
	// defaultValue is the default value; nil for a setting without one.
	defaultValue any
}

// usage is the text that explains the setting's flag.
func (s setting) usage() string {
	if s.defaultValue == nil {
		return descriptions[s.path]
	}
	return fmt.Sprintf("%s (default %v)", descriptions[s.path], s.defaultValue)
}

// declaredSettings lists all settings, in the order of their declaration.
func declaredSettings() []setting {
	return collectSettings(nil, "", reflect.ValueOf(Default()))
}

func collectSettings(settings []setting, prefix string, structure reflect.Value) []setting {
	for index := range structure.NumField() {
		value := structure.Field(index)
		path := prefix + structure.Type().Field(index).Tag.Get("koanf")
		if value.Kind() == reflect.Struct {
			settings = collectSettings(settings, path+pathDelimiter, value)
			continue
		}
		declared := setting{path: path}
		if value.Kind() != reflect.String || value.String() != "" {
			declared.defaultValue = value.Interface()
		}
		settings = append(settings, declared)
	}
	return settings
}
