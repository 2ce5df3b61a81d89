package settings

import (
	"flag"
	"fmt"
	"reflect"
)

// RegisterFlags defines one flag per setting, named after its path, such as -listen.caller. The usage
// message is the setting's description and default. When the flag set is parsed, the flags that are
// given are added to the returned map, which is passed to Load or LoadFile as overrides.
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

// Paths returns the paths of all settings in declaration order.
func Paths() []string {
	settings := declaredSettings()
	paths := make([]string, 0, len(settings))
	for _, setting := range settings {
		paths = append(paths, setting.path)
	}
	return paths
}

// setting is the path and default of one setting.
type setting struct {
	path string
	// defaultValue is nil for a setting without a default.
	defaultValue any
}

// usage returns the usage message of the setting's flag.
func (s setting) usage() string {
	if s.defaultValue == nil {
		return descriptions[s.path]
	}
	return fmt.Sprintf("%s (default %v)", descriptions[s.path], s.defaultValue)
}

// declaredSettings returns all settings in declaration order.
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
