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

// MaximumFileBytes bounds the size of a settings file.
const MaximumFileBytes = 1 << 20

// pathDelimiter joins the parts of a setting's path, as in listen.caller.
const pathDelimiter = "."

// Errors of this package, wrapped.
var (
	// ErrUnreadable: the file can't be read or is too large.
	ErrUnreadable = errors.New("settings: unreadable")
	// ErrInvalid: the settings have faults; the error is a *FaultsError.
	ErrInvalid = errors.New("settings: invalid")
)

// Fault is one thing that is wrong with a setting.
type Fault struct {
	// Path names the setting, for example listen.caller.
	Path string
	// Problem says what is wrong, in one line.
	Problem string
}

// String formats the fault in one line.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Problem
	}
	return f.Path + ": " + f.Problem
}

// FaultsError holds every fault found in the settings, sorted by path.
type FaultsError struct{ Faults []Fault }

// Error lists the faults, one a line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, ErrInvalid.Error())
	for _, fault := range e.Faults {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes errors.Is(err, ErrInvalid) hold.
func (e *FaultsError) Unwrap() error { return ErrInvalid }

// LoadFile reads a settings file and applies overrides, which map a setting's
// path to its text. An empty path stands for no file.
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

// Load parses a YAML document, applies overrides, and checks the result. Every
// fault is reported, in a *FaultsError.
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

// decode fills the defaults with what the tree holds. Settings of the wrong
// type and settings that don't exist are faults.
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

// unknownSettings lists the paths that lead to no setting. A section in place
// of a setting, or the other way round, is found when decoding.
func unknownSettings(tree *koanf.Koanf) []Fault {
	var faults []Fault
	for _, path := range tree.Keys() {
		if !slices.ContainsFunc(Paths(), func(known string) bool { return isPrefixRelated(path, known) }) {
			faults = append(faults, Fault{Path: path, Problem: "unknown setting"})
		}
	}
	return faults
}

// isPrefixRelated says that the paths are equal or that one leads to the other.
func isPrefixRelated(one, other string) bool {
	one, other = one+pathDelimiter, other+pathDelimiter
	return strings.HasPrefix(one, other) || strings.HasPrefix(other, one)
}

// decodeDuration reads durations, which must carry a unit: a bare number would
// silently be taken for nanoseconds.
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

// decodeFaults splits a decoding error into one fault per setting.
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
