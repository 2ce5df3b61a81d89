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

// runMainVariable is the environment variable that makes the test binary run main, so that
// tests can start it as the command under test.
const runMainVariable = "BANKSAIL_FRONT_UNDER_TEST"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a banksail-front process started by a test.
type process struct {
	t            *testing.T
	command      *exec.Cmd
	logLines     *bufio.Scanner
	stderr       *strings.Builder
	settingsPath string
	host         string
}

// logMessageTimeout is the longest wait for a log message.
const logMessageTimeout = 30 * time.Second

// uniqueLoopbackHost returns a loopback address derived from the process ID, so that no other
// process listens on it.
func uniqueLoopbackHost() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+id>>16&63, id>>8&255, id&255)
}

// Ports on which the process listens, at its own loopback address.
const (
	callerPort = 21800 + iota
	readyPort
	directoryPort
	controlPort
	gossipPort
)

// writeSettings writes the settings file with the given store address and grace period. A
// negative grace period is invalid.
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

// start runs the command with the given arguments. The process is killed when the test ends.
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

// awaitLogMessage reads the log until a line has the message. The test fails if the process
// exits first; the process is killed after logMessageTimeout.
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
	p.t.Fatalf("the process exited without logging %q; stderr: %s", message, p.stderr)
}

func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		p.t.Fatalf("send signal to the process: %v", err)
	}
}

// awaitExit reads the rest of the log until the process exits, and returns its exit code.
func (p *process) awaitExit() int {
	p.t.Helper()
	for p.logLines.Scan() {
		continue
	}
	_ = p.command.Wait() // the exit code is returned
	return p.command.ProcessState.ExitCode()
}

// getStatus sends a GET request to a port of the process and returns the HTTP status, or 0 if
// there was no response.
func (p *process) getStatus(port int, path string) int {
	response, err := http.Get(fmt.Sprintf("http://%s:%d%s", p.host, port, path))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// newProcess prepares a process, which is not yet started, and a stand-in store with an empty
// configuration of revision 1.
func newProcess(t *testing.T) (p *process, storeAddress string) {
	t.Helper()
	standInStore := standin.NewStore()
	standInStore.PutEmptyConfig(1)
	server := httptest.NewServer(standInStore)
	t.Cleanup(server.Close)
	p = &process{t: t, settingsPath: filepath.Join(t.TempDir(), "settings.toml"), host: uniqueLoopbackHost()}
	return p, strings.TrimPrefix(server.URL, "http://")
}

// On SIGHUP the process applies valid settings, and logs an error and keeps the last valid ones
// if they are invalid. It serves readiness and the directory throughout, and exits only on
// SIGTERM, with code 0.
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
		t.Errorf("readiness: HTTP status %d", status)
	}
	if status := p.getStatus(directoryPort, platform.ResolvePath+"?name=x&zone=zone-a&region=here"); status != http.StatusOK {
		t.Errorf("directory: HTTP status %d", status)
	}
	p.signal(syscall.SIGTERM)
	p.awaitLogMessage("stopped")
	if code := p.awaitExit(); code != 0 {
		t.Errorf("exit code %d after SIGTERM, expected 0; stderr: %s", code, p.stderr)
	}
}

// A process that cannot listen on one of its ports exits at once with a non-zero code and an
// error that contains the address.
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
		t.Errorf("exit code %d, stderr: %s", code, p.stderr)
	}
}
