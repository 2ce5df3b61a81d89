package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// minimalDocument is a valid document that sets only the settings without defaults.
const minimalDocument = `
node: {id: node-1, zone: kingston-a}
listen: {caller: "127.0.0.1:7101", operator: "127.0.0.1:7102", peer: "127.0.0.1:7103"}
store: {address: "10.0.0.5:7000"}
machine_list: {address: "10.0.0.6:7000"}
`

func TestLoad(t *testing.T) {
	overrides := map[string]string{"listen.caller": "127.0.0.1:9999", "stop.grace": "3s", "caller.queries": "7"}
	loaded, err := Load([]byte(minimalDocument), overrides)
	if err != nil {
		t.Fatal(err)
	}
	expected := Default()
	expected.Node = Node{ID: "node-1", Zone: "kingston-a"}
	expected.Listen = Listen{Caller: "127.0.0.1:9999", Operator: "127.0.0.1:7102", Peer: "127.0.0.1:7103"}
	expected.Store.Address = "10.0.0.5:7000"
	expected.MachineList.Address = "10.0.0.6:7000"
	expected.Stop.Grace = 3 * time.Second
	expected.Caller.Queries = 7
	if loaded != expected {
		t.Errorf("loaded %+v, expected %+v", loaded, expected)
	}
}

func TestLoadReportsAllFaults(t *testing.T) {
	tests := map[string]struct {
		change    string
		overrides map[string]string
		faults    []string
	}{
		"unknown settings, also nested ones": {
			change: "colour: red\nlog: {level: info, color: true}\n",
			faults: []string{"colour: unknown setting", "log.color: unknown setting"},
		},
		"several faults at once": {
			change: "stop: {grace: 11m}\nlog: {level: loud}\ncaller: {queries: 0}\n",
			faults: []string{
				"caller.queries: must be at least 1, is 0",
				`log.level: must be one of debug info warn error, is "loud"`,
				"stop.grace: must be at most 10m, is 11m0s",
			},
		},
		"wrong types": {
			change: "caller: {queries: many}\nstop: {grace: 5}\nat_most_once: {window: soon}\n",
			faults: []string{
				"at_most_once.window: must be a duration such as 250ms, is \"soon\"",
				"caller.queries: ",
				"stop.grace: needs a unit, such as 250ms, is 5",
			},
		},
		"unknown settings beside wrong types": {
			change: "colour: red\nstop: {grace: 5, gracious: true}\n",
			faults: []string{"colour: unknown setting", "stop.grace: needs a unit", "stop.gracious: unknown setting"},
		},
		"a section that is no mapping and a setting that is one": {
			change:    "log: loud\n",
			overrides: map[string]string{"caller.queries.most": "1"},
			faults:    []string{"caller.queries: ", "log: "},
		},
		"host names in place of IP numbers": {
			overrides: map[string]string{"listen.peer": "localhost:80", "store.address": "http://10.0.0.1:80"},
			faults: []string{
				"listen.peer: must be an IP number and port such as 10.0.0.5:8080",
				"store.address: must be an IP number and port such as 10.0.0.5:8080",
			},
		},
		"two listeners at one address": {
			overrides: map[string]string{"listen.operator": "127.0.0.1:7101"},
			faults:    []string{"listen.operator: must differ from listen.caller"},
		},
		"unknown override": {
			overrides: map[string]string{"listen.callers": "127.0.0.1:1"},
			faults:    []string{"listen.callers: unknown setting"},
		},
		"empty identity": {
			overrides: map[string]string{"node.id": "", "node.zone": "a b"},
			faults:    []string{"node.id: is required", "node.zone: must be letters"},
		},
		"no mapping":  {change: "\n- 1\n", faults: []string{"not a YAML mapping"}},
		"broken YAML": {change: "\n{", faults: []string{"not a YAML mapping"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Load([]byte(minimalDocument+test.change), test.overrides)
			var faults *FaultsError
			if !errors.As(err, &faults) || !errors.Is(err, ErrInvalid) {
				t.Fatalf("got %v, expected faults", err)
			}
			if len(faults.Faults) != len(test.faults) {
				t.Fatalf("got %v, expected %q", err, test.faults)
			}
			for index, prefix := range test.faults {
				if got := faults.Faults[index].String(); !strings.HasPrefix(got, prefix) {
					t.Errorf("fault %d is %q, expected prefix %q", index, got, prefix)
				}
			}
		})
	}
}

func TestLoadRejectsMissingSettings(t *testing.T) {
	_, err := Load(nil, nil)
	var faults *FaultsError
	if !errors.As(err, &faults) {
		t.Fatalf("got %v, expected faults", err)
	}
	var paths []string
	for _, fault := range faults.Faults {
		paths = append(paths, fault.Path)
	}
	expected := []string{
		"listen.caller", "listen.operator", "listen.peer",
		"machine_list.address", "node.id", "node.zone", "store.address",
	}
	if !slices.Equal(paths, expected) {
		t.Errorf("faults at %q, expected %q", paths, expected)
	}
}

func TestLoadFileRejectsUnreadableFiles(t *testing.T) {
	tooLarge := filepath.Join(t.TempDir(), "large.yaml")
	if err := os.WriteFile(tooLarge, make([]byte, MaximumFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, path := range map[string]string{"missing": "no/such/file", "too large": tooLarge} {
		if _, err := LoadFile(path, nil); !errors.Is(err, ErrUnreadable) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestEverySettingHasAFlag(t *testing.T) {
	flags := flag.NewFlagSet("test", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	overrides := RegisterFlags(flags)
	for _, path := range Paths() {
		if err := flags.Parse([]string{"--" + path, "value"}); err != nil || overrides[path] != "value" {
			t.Errorf("flag %s: got error %v, override %q", path, err, overrides[path])
		}
	}
	if err := flags.Parse([]string{"--listen.nobody=1"}); err == nil {
		t.Error("an unknown flag was accepted")
	}
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(minimalDocument))
	f.Add([]byte("node: [1, 2]\nlisten: {caller: {deep: {er: 1}}}\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Add([]byte("? {x: 1}\n: y\n1: 2\n~: 3\n"))
	f.Fuzz(func(t *testing.T, document []byte) {
		if len(document) > 1<<16 {
			return
		}
		loaded, err := Load(document, nil)
		if err == nil && validate(loaded, nil) != nil {
			t.Errorf("invalid settings were loaded from %q", document)
		}
		if err != nil && !errors.Is(err, ErrInvalid) {
			t.Errorf("error %v is not ErrInvalid", err)
		}
	})
}

func TestEverySettingIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, setting := range declaredSettings() {
		description := descriptions[setting.path]
		if description == "" {
			t.Errorf("%s has no description", setting.path)
		}
		rows := regexp.MustCompile(`(?m)^\| `+"`"+regexp.QuoteMeta(setting.path)+"`"+` \| (.*?) \| .*?\| (.*) \|$`).FindAllStringSubmatch(string(page), -1)
		if len(rows) != 1 {
			t.Errorf("%s has %d rows in docs/SETTINGS.md, expected 1", setting.path, len(rows))
			continue
		}
		checkDocumentedDefault(t, setting, strings.Trim(rows[0][1], "`"))
		if meaning := rows[0][2]; !strings.HasPrefix(meaning, description) {
			t.Errorf("%s is described as %q in docs/SETTINGS.md, the flag says %q", setting.path, meaning, description)
		}
	}
	if len(descriptions) != len(Paths()) {
		t.Errorf("got %d descriptions for %d settings", len(descriptions), len(Paths()))
	}
}

func checkDocumentedDefault(t *testing.T, setting setting, text string) {
	t.Helper()
	expected := fmt.Sprint(setting.defaultValue)
	if _, isDuration := setting.defaultValue.(time.Duration); isDuration {
		documented, err := time.ParseDuration(text)
		if err != nil {
			t.Errorf("%s: %v", setting.path, err)
		}
		text = documented.String()
	}
	if setting.defaultValue != nil && text != expected {
		t.Errorf("%s has default %s in docs/SETTINGS.md, expected %s", setting.path, text, expected)
	}
}
