package emulator_test

import (
	"errors"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/lab/emulator"
)

func TestFaultsCanBeSetOnFullAndFrozenServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	server := newServer(t, emulator.ServerOptions{Connections: 1})
	server.SetFaults(emulator.ServerFaults{Freeze: true})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()

	client := backend.NewClient(backend.ClientOptions{ConnectionLimit: func(string) int { return 1 }})
	first := make(chan error, 1)
	go func() {
		_, err := client.Query(t.Context(), address, newQuery("a1"))
		first <- err
	}()
	for len(server.Executions()) == 0 {
		runtime.Gosched()
		if len(first) > 0 {
			t.Fatal(<-first)
		}
	}
	other := backend.NewClient(backend.ClientOptions{})
	if _, err := other.Health(t.Context(), address); err == nil {
		t.Error("health was served on a connection above the limit")
	}
	response, err := http.Post("http://"+address+emulator.FaultsPath, "application/json", strings.NewReader(`{"freeze":false}`))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("HTTP status is %d, want 200", response.StatusCode)
	}
	if err := <-first; err != nil {
		t.Error(err)
	}
	if err := server.Close(); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

func TestDrainCompletesInFlightAndRefusesNewQueries(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	server := newServer(t, emulator.ServerOptions{})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	client := backend.NewClient(backend.ClientOptions{ConnectionLimit: func(string) int { return 8 }})
	defer client.CloseIdleConnections()

	server.SetFaults(emulator.ServerFaults{ReplyDelayMilliseconds: 100})
	running := make(chan error, 1)
	go func() {
		_, err := client.Query(t.Context(), address, newQuery("a1"))
		running <- err
	}()
	for history := server.Executions(); len(history) == 0 || !history[0].Completed; history = server.Executions() {
		runtime.Gosched()
	}
	server.SetFaults(emulator.ServerFaults{Draining: true})
	reply, err := client.Query(t.Context(), address, newQuery("a2"))
	if err != nil || reply.Status != backend.StatusDraining {
		t.Errorf("reply is %+v, %v, want draining", reply, err)
	}
	if err := server.Drain(t.Context(), 0); err != nil {
		t.Error(err)
	}
	if err := <-running; err != nil {
		t.Errorf("in-flight sub-request failed: %v", err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}
