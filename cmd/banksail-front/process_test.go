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

// runMainVariable makes the test's own program the command under test.
const runMainVariable = "BANKSAIL_FRONT_UNDER_TEST"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is the command as a process of its own.
type process struct {
	t            *testing.T
	command      *exec.Cmd
	logLines     *bufio.Scanner
	stderr       *strings.Builder
	settingsPath string
	host         string
}

// logMessageTimeout bounds the wait for a line of the log.
const logMessageTimeout = 30 * time.Second

// uniqueLoopbackHost is an address of loopback that no other process listens on.
func uniqueLoopbackHost() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+id>>16&63, id>>8&255, id&255)
}

// Ports of the process at its own host.
const (
	callerPort = 21800 + iota
	readyPort
	directoryPort
	controlPort
	gossipPort
)

// writeSettings writes the settings file.
func (p *process) writeSettings(storeAddress string, graceSeconds int) {
	p.t.Helper()
	text := standin.NodeSettings{
		NodeName: "front-1", Zone: "zone-a", Zones: []string{"zone-a"}, Host: p.host, Bootstrap: true,
		CallerPort: callerPort, ReadyPort: readyPort, DirectoryPort: directoryPort, ControlPort: controlPort, InternalPort: gossipPort,
		GraceSeconds: graceSeconds, StoreAddress: storeAddress,
	}.TOML()
	if err := os.WriteFile(p.settingsPath, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// start runs the command, which is killed at the test's end if it is still there.
func (p *process) start(arguments ...string) {
	p.t.Helper()
	p.command = exec.Command(os.Args[0], arguments...)
	p.command.Env = append(os.Environ(), runMainVariable+"=1", platform.SettingsVariable+"="+p.settingsPath)
	p.stderr = new(strings.Builder)
	p.command.Stderr = p.stderr
	output, err := p.command.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	p.logLines = bufio.NewScanner(output)
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = p.command.Process.Kill() })
}

// awaitLogMessage reads the log up to a line with the message.
func (p *process) awaitLogMessage(message string) {
	p.t.Helper()
	timer := time.AfterFunc(logMessageTimeout, func() { _ = p.command.Process.Kill() })
	defer timer.Stop()
	for p.logLines.Scan() {
		var line struct {
			Message string `json:"message"`
		}
		if json.Unmarshal(p.logLines.Bytes(), &line) == nil && line.Message == message {
			return
		}
	}
	p.t.Fatalf("the process ended without the line %q; errors: %s", message, p.stderr)
}

func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		p.t.Fatalf("the process has ended: %v", err)
	}
}

// awaitExit reads what the process still writes, and returns its exit code.
func (p *process) awaitExit() int {
	p.t.Helper()
	for p.logLines.Scan() {
		continue
	}
	_ = p.command.Wait() // the exit code tells
	return p.command.ProcessState.ExitCode()
}

// getStatus returns the status of a call to a port of the process.
func (p *process) getStatus(port int, path string) int {
	response, err := http.Get(fmt.Sprintf("http://%s:%d%s", p.host, port, path))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// newProcess prepares a node before a store that holds a configuration.
func newProcess(t *testing.T) (p *process, storeAddress string) {
	t.Helper()
	standInStore := standin.NewStore()
	standInStore.PutEmptyConfig(1)
	server := httptest.NewServer(standInStore)
	t.Cleanup(server.Close)
	p = &process{t: t, settingsPath: filepath.Join(t.TempDir(), "settings.toml"), host: uniqueLoopbackHost()}
	return p, strings.TrimPrefix(server.URL, "http://")
}

// A process that is told that its settings changed takes those that are valid, tells what
// is wrong with others, goes on serving all that it serves, and ends only when it is asked.
func TestSettingsReloadAndShutdownOnSignals(t *testing.T) {
	p, storeAddress := newProcess(t)
	p.writeSettings(storeAddress, 6)
	p.start("serve")
	p.awaitLogMessage("table in force")
	p.signal(syscall.SIGHUP)
	p.writeSettings(storeAddress, 2)
	p.signal(syscall.SIGHUP)
	p.awaitLogMessage("settings applied")
	p.writeSettings(storeAddress, -1)
	p.signal(syscall.SIGHUP)
	p.awaitLogMessage("settings can't be read, the last good ones stay")
	p.writeSettings(storeAddress, 1)
	p.signal(syscall.SIGHUP)
	p.awaitLogMessage("settings applied")
	if status := p.getStatus(readyPort, platform.ReadinessPath); status != http.StatusOK {
		t.Errorf("readiness: %d", status)
	}
	if status := p.getStatus(directoryPort, platform.ResolvePath+"?name=x&zone=zone-a&region=here"); status != http.StatusOK {
		t.Errorf("directory: %d", status)
	}
	p.signal(syscall.SIGTERM)
	p.awaitLogMessage("stopped")
	if code := p.awaitExit(); code != 0 {
		t.Errorf("exit code %d after a planned stop; errors: %s", code, p.stderr)
	}
}

// A process that can't listen ends at once with an error that names the address.
func TestServeFailsIfPortInUse(t *testing.T) {
	p, storeAddress := newProcess(t)
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", p.host, directoryPort))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	p.writeSettings(storeAddress, 6)
	p.start("serve")
	if code := p.awaitExit(); code == 0 || !strings.Contains(p.stderr.String(), listener.Addr().String()) {
		t.Errorf("exit code %d, errors: %s", code, p.stderr)
	}
}
