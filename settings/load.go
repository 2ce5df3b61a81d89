package settings

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
)

// MaximumFileBytes is the maximum size of a settings file in bytes.
const MaximumFileBytes = 1 << 20

// pathDelimiter separates the parts of a setting's path, as in listen.caller.
const pathDelimiter = "."

// Errors that LoadFile and Load wrap.
var (
	// ErrUnreadable means that the file cannot be read or is larger than MaximumFileBytes.
	ErrUnreadable = errors.New("settings: cannot read file")
	// ErrInvalid means that settings are invalid. The error is a *FaultsError.
	ErrInvalid = errors.New("settings: invalid settings")
)

// Fault describes an invalid setting.
type Fault struct {
	// Path is the path of the setting, for example listen.caller. It is empty if
	// the fault concerns no single setting.
	Path string
	// Problem is a one-line description of the fault.
	Problem string
}

// String returns the path and the problem on one line.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Problem
	}
	return f.Path + ": " + f.Problem
}

// FaultsError reports all faults found in the settings, sorted by path.
type FaultsError struct{ Faults []Fault }

// Error returns one line per fault.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, ErrInvalid.Error())
	for _, fault := range e.Faults {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrInvalid.
func (e *FaultsError) Unwrap() error { return ErrInvalid }

// LoadFile reads a settings file and loads it as Load does. An empty path means that there is no
// file. Its error wraps ErrUnreadable or is that of Load.
func LoadFile(path string, overrides map[string]string) (Settings, error) {
	if path == "" {
		return Load(nil, overrides)
	}
	file, err := os.Open(path)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	defer func() { _ = file.Close() }()
	document, err := io.ReadAll(io.LimitReader(file, MaximumFileBytes+1))
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if len(document) > MaximumFileBytes {
		return Settings{}, fmt.Errorf("%w: %s is larger than %d bytes", ErrUnreadable, path, MaximumFileBytes)
	}
	return Load(document, overrides)
}

// Load parses a YAML document, applies the overrides, and validates the result. The overrides map
// paths of settings to values in text form. Faults are returned as a *FaultsError.
func Load(document []byte, overrides map[string]string) (Settings, error) {
	tree, err := parse(document)
	if err != nil {
		return Settings{}, &FaultsError{Faults: []Fault{{Problem: err.Error()}}}
	}
	for _, path := range slices.Sorted(maps.Keys(overrides)) {
		if err := tree.Set(path, overrides[path]); err != nil {
			return Settings{}, &FaultsError{Faults: []Fault{{Path: path, Problem: err.Error()}}}
		}
	}
	loaded, faults := decode(tree)
	faults = append(faults, validate(loaded, faults)...)
	if len(faults) > 0 {
		slices.SortStableFunc(faults, func(a, b Fault) int { return strings.Compare(a.Path, b.Path) })
		return Settings{}, &FaultsError{Faults: faults}
	}
	return loaded, nil
}

func parse(document []byte) (*koanf.Koanf, error) {
	tree := koanf.New(pathDelimiter)
	if len(strings.TrimSpace(string(document))) == 0 {
		return tree, nil
	}
	if err := tree.Load(rawbytes.Provider(document), yaml.Parser()); err != nil {
		return nil, fmt.Errorf("not a YAML mapping: %w", err)
	}
	return tree, nil
}

// decode returns the default settings overlaid with the values of the tree. It reports values of the
// wrong type and unknown settings as faults.
func decode(tree *koanf.Koanf) (Settings, []Fault) {
	loaded := Default()
	err := tree.UnmarshalWithConf("", &loaded, koanf.UnmarshalConf{
		DecoderConfig: &mapstructure.DecoderConfig{
			DecodeHook:       decodeDuration,
			MatchName:        func(key, field string) bool { return key == field },
			Result:           &loaded,
			WeaklyTypedInput: true,
		},
	})
	return loaded, append(unknownSettings(tree), decodeFaults(err)...)
}

// unknownSettings returns a fault for each path that does not belong to a setting. A section in place
// of a setting, or the reverse, is reported when the tree is decoded.
func unknownSettings(tree *koanf.Koanf) []Fault {
	var faults []Fault
	for _, path := range tree.Keys() {
		if !slices.ContainsFunc(Paths(), func(known string) bool { return isPrefixRelated(path, known) }) {
			faults = append(faults, Fault{Path: path, Problem: "unknown setting"})
		}
	}
	return faults
}

// isPrefixRelated reports whether the paths are equal or one is a parent of the other.
func isPrefixRelated(one, other string) bool {
	one, other = one+pathDelimiter, other+pathDelimiter
	return strings.HasPrefix(one, other) || strings.HasPrefix(other, one)
}

// decodeDuration is a decode hook that parses durations. It requires a unit, because a number without
// one would silently be interpreted as nanoseconds.
func decodeDuration(_, target reflect.Type, value any) (any, error) {
	if target != reflect.TypeFor[time.Duration]() {
		return value, nil
	}
	text, isText := value.(string)
	if !isText {
		if duration, isDuration := value.(time.Duration); isDuration {
			return duration, nil
		}
		return nil, fmt.Errorf("needs a unit, such as 250ms, is %v", value)
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return nil, fmt.Errorf("must be a duration such as 250ms, is %q", text)
	}
	return duration, nil
}

// decodeFaults converts a decoding error to one fault per setting.
func decodeFaults(err error) []Fault {
	if err == nil {
		return nil
	}
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		var faults []Fault
		for _, part := range joined.Unwrap() {
			faults = append(faults, decodeFaults(part)...)
		}
		return faults
	}
	var named *mapstructure.DecodeError
	if errors.As(err, &named) {
		return []Fault{{Path: named.Name(), Problem: named.Unwrap().Error()}}
	}
	return []Fault{{Problem: err.Error()}}
}
