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

func testSettings(grace time.Duration) settings.Settings {
	loaded := settings.Default()
	loaded.Node = settings.Node{ID: "node-1", Zone: "zone-a"}
	loaded.Listen = settings.Listen{Caller: "127.0.0.1:0", Operator: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	// Nothing listens on the discard port: the platform is away.
	loaded.Store.Address = "127.0.0.1:9"
	loaded.MachineList.Address = "127.0.0.1:9"
	loaded.Stop.Grace = grace
	return loaded
}

// startDaemon starts a daemon and returns once it listens.
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
		t.Errorf("exit status %d", status)
	}
}

func TestSecondSignalAborts(t *testing.T) {
	// With this grace the test would never end by a planned stop.
	exited := startDaemon(t, testSettings(10*time.Minute))
	sendSIGTERM(t)
	for {
		select {
		case status := <-exited:
			if status != subcommands.ExitFailure {
				t.Errorf("exit status %d", status)
			}
			return
		case <-time.After(10 * time.Millisecond):
			// The kernel may merge signals that are sent in a row.
			sendSIGTERM(t)
		}
	}
}
