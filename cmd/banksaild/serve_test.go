package main

import (
	"context"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/settings"
)

// testSettings returns settings of a node on loopback with the given grace period and with a
// config store and machine list that are unreachable.
func testSettings(grace time.Duration) settings.Settings {
	loaded := settings.Default()
	loaded.Node = settings.Node{ID: "node-1", Zone: "zone-a"}
	loaded.Listen = settings.Listen{Caller: "127.0.0.1:0", Operator: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	// Nothing listens on the discard port, so the platform's services are unreachable.
	loaded.Store.Address = "127.0.0.1:9"
	loaded.MachineList.Address = "127.0.0.1:9"
	loaded.Stop.Grace = grace
	return loaded
}

// startDaemon starts a daemon and returns once it listens. The channel receives its exit status.
func startDaemon(t *testing.T, loaded settings.Settings) <-chan subcommands.ExitStatus {
	t.Helper()
	daemon, err := newDaemon(loaded, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	exited := make(chan subcommands.ExitStatus, 1)
	go func() { exited <- daemon.run(context.Background()) }()
	<-daemon.node.Listening()
	return exited
}

// sendSIGTERM sends SIGTERM to the test's own process.
func sendSIGTERM(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

func TestFirstSignalStopsGracefully(t *testing.T) {
	exited := startDaemon(t, testSettings(0))
	sendSIGTERM(t)
	if status := <-exited; status != subcommands.ExitSuccess {
		t.Errorf("exit status %d after the first signal, expected success", status)
	}
}

func TestSecondSignalAborts(t *testing.T) {
	// A graceful stop with this grace period would take longer than the test may run, so that only
	// an abort can end the daemon in time.
	exited := startDaemon(t, testSettings(10*time.Minute))
	sendSIGTERM(t)
	for {
		select {
		case status := <-exited:
			if status != subcommands.ExitFailure {
				t.Errorf("exit status %d after the second signal, expected failure", status)
			}
			return
		case <-time.After(10 * time.Millisecond):
			// The kernel may merge pending signals of one kind, so the second one is sent repeatedly.
			sendSIGTERM(t)
		}
	}
}
