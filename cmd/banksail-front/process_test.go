package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/banksail/banksail/platform"
	"github.com/banksail/banksail/platform/standin"
)

// asProcess makes the test's own program the command under test.
const asProcess = "BANKSAIL_FRONT_UNDER_TEST"

func TestMain(m *testing.M) {
	if os.Getenv(asProcess) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is the command as a process of its own.
type process struct {
	t        *testing.T
	command  *exec.Cmd
	lines    *bufio.Scanner
	errors   *strings.Builder
	settings string
	host     string
}

// lineTimeout bounds the wait for a line of the log.
const lineTimeout = 30 * time.Second

// ownHost is an address of loopback that no other process listens on.
func ownHost() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+id>>16&63, id>>8&255, id&255)
}

// Ports of the process at its own host.
const (
	callersPort = 21800 + iota
	readyPort
	directoryPort
	controlPort
	gossipPort
)

// write writes the settings file.
func (p *process) write(store string, grace int) {
	p.t.Helper()
	text := standin.NodeSettings{
		NodeName: "front-1", Zone: "zone-a", Zones: []string{"zone-a"}, Host: p.host, Bootstrap: true,
		CallerPort: callersPort, ReadyPort: readyPort, DirectoryPort: directoryPort, ControlPort: controlPort, InternalPort: gossipPort,
		GraceSeconds: grace, StoreAddress: store,
	}.TOML()
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// start runs the command, which is killed at the test's end if it is still there.
func (p *process) start(arguments ...string) {
	p.t.Helper()
	p.command = exec.Command(os.Args[0], arguments...)
	p.command.Env = append(os.Environ(), asProcess+"=1", platform.SettingsVariable+"="+p.settings)
	p.errors = new(strings.Builder)
	p.command.Stderr = p.errors
	output, err := p.command.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	p.lines = bufio.NewScanner(output)
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = p.command.Process.Kill() })
}

// await reads the log up to a line with the message.
func (p *process) await(message string) {
	p.t.Helper()
	timer := time.AfterFunc(lineTimeout, func() { _ = p.command.Process.Kill() })
	defer timer.Stop()
	for p.lines.Scan() {
		var line struct {
			Message string `json:"message"`
		}
		if json.Unmarshal(p.lines.Bytes(), &line) == nil && line.Message == message {
			return
		}
	}
	p.t.Fatalf("the process ended without the line %q; errors: %s", message, p.errors)
}

func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		p.t.Fatalf("the process has ended: %v", err)
	}
}

// end reads what the process still writes, and returns its exit code.
func (p *process) end() int {
	p.t.Helper()
	for p.lines.Scan() {
		continue
	}
	_ = p.command.Wait() // the exit code tells
	return p.command.ProcessState.ExitCode()
}

// get returns the status of a call to a port of the process.
func (p *process) get(port int, path string) int {
	reply, err := http.Get(fmt.Sprintf("http://%s:%d%s", p.host, port, path))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, reply.Body)
	_ = reply.Body.Close()
	return reply.StatusCode
}

// newProcess prepares a node before a store that holds a configuration.
func newProcess(t *testing.T) (p *process, store string) {
	t.Helper()
	kept := standin.NewStore()
	kept.PutEmptyConfig(1)
	server := httptest.NewServer(kept)
	t.Cleanup(server.Close)
	p = &process{t: t, settings: filepath.Join(t.TempDir(), "settings.toml"), host: ownHost()}
	return p, strings.TrimPrefix(server.URL, "http://")
}

// A process that is told that its settings changed takes those that are valid, tells what
// is wrong with others, goes on serving all that it serves, and ends only when it is asked.
func TestSignals(t *testing.T) {
	p, store := newProcess(t)
	p.write(store, 6)
	p.start("serve")
	p.await("table in force")
	p.signal(syscall.SIGHUP)
	p.write(store, 2)
	p.signal(syscall.SIGHUP)
	p.await("settings applied")
	p.write(store, -1)
	p.signal(syscall.SIGHUP)
	p.await("settings can't be read, the last good ones stay")
	p.write(store, 1)
	p.signal(syscall.SIGHUP)
	p.await("settings applied")
	if status := p.get(readyPort, platform.ReadinessPath); status != http.StatusOK {
		t.Errorf("readiness: %d", status)
	}
	if status := p.get(directoryPort, platform.ResolvePath+"?name=x&zone=zone-a&region=here"); status != http.StatusOK {
		t.Errorf("directory: %d", status)
	}
	p.signal(syscall.SIGTERM)
	p.await("stopped")
	if code := p.end(); code != 0 {
		t.Errorf("exit code %d after a planned stop; errors: %s", code, p.errors)
	}
}

// A process that can't listen ends at once with an error that names the address.
func TestPortInUse(t *testing.T) {
	p, store := newProcess(t)
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", p.host, directoryPort))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	p.write(store, 6)
	p.start("serve")
	if code := p.end(); code == 0 || !strings.Contains(p.errors.String(), listener.Addr().String()) {
		t.Errorf("exit code %d, errors: %s", code, p.errors)
	}
}
