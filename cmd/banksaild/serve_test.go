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

// serve starts a daemon and returns once it listens.
func serve(t *testing.T, loaded settings.Settings) <-chan subcommands.ExitStatus {
	t.Helper()
	daemon, err := newDaemon(loaded, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan subcommands.ExitStatus, 1)
	go func() { ended <- daemon.run(context.Background()) }()
	<-daemon.node.Listening()
	return ended
}

func signalSelf(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

func TestFirstSignalStopsAsPlanned(t *testing.T) {
	ended := serve(t, testSettings(0))
	signalSelf(t)
	if status := <-ended; status != subcommands.ExitSuccess {
		t.Errorf("exit status %d", status)
	}
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	// With this grace the test would never end by a planned stop.
	ended := serve(t, testSettings(10*time.Minute))
	signalSelf(t)
	for {
		select {
		case status := <-ended:
			if status != subcommands.ExitFailure {
				t.Errorf("exit status %d", status)
			}
			return
		case <-time.After(10 * time.Millisecond):
			// The kernel may merge signals that are sent in a row.
			signalSelf(t)
		}
	}
}
