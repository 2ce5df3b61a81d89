//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// ports are the ports of a machine, alike on all machines.
type ports struct{ front, ready, directory, control, internal int }

// node is a process of the system on a machine of its own loopback address.
type node struct {
	name, ip, zone string
	ports          ports
	settings       string // path of the settings file
	logPath        string
	command        *exec.Cmd
	ended          chan struct{}
}

// findPorts returns ports that are free on all given addresses.
func findPorts(ips []string) (ports, error) {
	var found ports
	for _, port := range []*int{&found.front, &found.ready, &found.directory, &found.control, &found.internal} {
		number, err := findPort(ips)
		if err != nil {
			return ports{}, err
		}
		*port = number
	}
	return found, nil
}

var usedPorts = map[int]bool{}

func findPort(ips []string) (int, error) {
	for range 50 {
		probe, err := net.Listen("tcp", net.JoinHostPort(ips[0], "0"))
		if err != nil {
			return 0, err
		}
		port := probe.Addr().(*net.TCPAddr).Port
		_ = probe.Close()
		free := !usedPorts[port]
		for _, ip := range ips {
			other, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = other.Close()
		}
		if free {
			usedPorts[port] = true
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

// writeSettings writes the settings file of a process as the platform does.
func (n *node) writeSettings(folder, storeAddress string, seeds []string, zones []string, bootstrap bool) error {
	var text strings.Builder
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(&text, format+"\n", values...) }
	quoted := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		quoted = append(quoted, fmt.Sprintf("%q", seed))
	}
	line("node_name = %q\nrole = \"node\"\nmachine_class = \"front\"\nserves = [\"front\",\"control\",\"directory\"]", n.name)
	line("ip = %q\nzone = %q\nregion = \"here\"\ninternal_ports = [%d,%d]", n.ip, n.zone, n.ports.internal, n.ports.internal)
	line("seeds = [%s]\nbootstrap = %t\nloss_counts = false\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeat_ms = %d", strings.Join(quoted, ","), bootstrap, heartbeat.Milliseconds())
	line("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"platform\"]\n[zones]")
	for _, zone := range zones {
		line("%s = \"here\"", zone)
	}
	line("[bind_addrs]\nfront = \"%[1]s:%[2]d\"\nready = \"%[1]s:%[3]d\"\ncontrol = \"%[1]s:%[4]d\"\ndirectory = \"%[1]s:%[5]d\"", n.ip, n.ports.front, n.ports.ready, n.ports.control, n.ports.directory)
	line("[limits]\ncpu_share = 0.4\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0")
	line("[fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0")
	line("[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 3000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\nrollback_slack_ms = 250\nmax_skew_ms = 12000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_extra = 56\nrecovery_s = 12\nttl_max_s = 5")
	line("[platform]\naddress = %q\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000", storeAddress)
	n.settings = filepath.Join(folder, n.name+".toml")
	n.logPath = filepath.Join(folder, n.name+".log")
	return os.WriteFile(n.settings, []byte(text.String()), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start(program string) error {
	output, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command(program, "serve")
	n.command.Env = []string{"BANKSAIL_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.command.Stdout, n.command.Stderr = output, output
	if err := n.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.ended = ended
	command := n.command
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	return nil
}

func (n *node) signal(signal os.Signal) { _ = n.command.Process.Signal(signal) }

// stop ends the process and waits for it.
func (n *node) stop() {
	if n.command == nil {
		return
	}
	n.signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(7 * time.Second):
		n.signal(syscall.SIGKILL)
		<-n.ended
	}
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }
