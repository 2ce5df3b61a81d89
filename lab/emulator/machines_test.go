package emulator_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/machinelist"
)

func machine(id string) machinelist.Machine {
	return machinelist.Machine{
		ID: id, Address: "127.0.0.1:80", Zone: "z", Role: machinelist.RoleServer, State: machinelist.StateLive,
	}
}

func startMachineList(t *testing.T, server *emulator.MachineListServer) machinelist.Conn {
	t.Helper()
	web := httptest.NewServer(server)
	t.Cleanup(web.Close)
	return machinelist.NewHTTP(machinelist.HTTPOptions{Address: web.Listener.Addr().String()})
}

func TestMachineListWatchSeesAChange(t *testing.T) {
	server := emulator.NewMachineListServer(machine("a"))
	conn := startMachineList(t, server)
	list, err := conn.Get(t.Context())
	if err != nil || len(list.Machines) != 1 {
		t.Fatalf("list is %+v, %v, want 1 machine", list, err)
	}
	server.Upsert(machine("b"))
	list, err = conn.Watch(t.Context(), list.Version, time.Minute)
	if err != nil || len(list.Machines) != 2 {
		t.Errorf("watch returned %+v, %v, want 2 machines", list, err)
	}
	if _, err := conn.Watch(t.Context(), list.Version, 0); !errors.Is(err, machinelist.ErrUnchanged) {
		t.Errorf("error is %v, want ErrUnchanged", err)
	}
}

func TestMachineListFaults(t *testing.T) {
	server := emulator.NewMachineListServer(machine("a"))
	conn := startMachineList(t, server)
	server.SetFaults(emulator.MachineListFaults{KeepRemoved: true})
	server.Remove("a")
	if list, err := conn.Get(t.Context()); err != nil || len(list.Machines) != 1 {
		t.Errorf("list with KeepRemoved is %+v, %v, want the removed machine", list, err)
	}
	server.SetFaults(emulator.MachineListFaults{})
	if list, err := conn.Get(t.Context()); err != nil || len(list.Machines) != 0 {
		t.Errorf("list after KeepRemoved is cleared is %+v, %v, want no machines", list, err)
	}
	server.SetFaults(emulator.MachineListFaults{Down: true})
	if _, err := conn.Get(t.Context()); !errors.Is(err, machinelist.ErrUnavailable) {
		t.Errorf("error is %v, want ErrUnavailable", err)
	}
}

func TestMachineListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := emulator.NewMachineListServer()
		server.SetFaults(emulator.MachineListFaults{LagMilliseconds: 1000})
		server.Upsert(machine("a"))
		start := time.Now()
		request := httptest.NewRequestWithContext(context.Background(), http.MethodGet, machinelist.Path+"?after=1&wait_ms=5000", nil)
		recorder, ok := serveInMemory(server, request)
		if !ok || recorder.Code != http.StatusOK || time.Since(start) != time.Second {
			t.Errorf("HTTP status is %d after %v, want 200 after 1s", recorder.Code, time.Since(start))
		}
	})
}

func TestMachineListChangesOverHTTP(t *testing.T) {
	server := emulator.NewMachineListServer()
	body := `{"id":"a","address":"127.0.0.1:80","zone":"z","role":"node","state":"leaving","incarnation":"1"}`
	cases := []struct {
		name, method, path, body string
		want                     int
	}{
		{"add", http.MethodPut, "/v1/machines/a", body, http.StatusOK},
		{"other ID in the path", http.MethodPut, "/v1/machines/b", body, http.StatusBadRequest},
		{"bad role", http.MethodPut, "/v1/machines/a", strings.Replace(body, "node", "boss", 1), http.StatusBadRequest},
		{"remove", http.MethodDelete, "/v1/machines/a", "", http.StatusNoContent},
		{"remove again", http.MethodDelete, "/v1/machines/a", "", http.StatusNotFound},
		{"bad watch", http.MethodGet, "/v1/machines?after=x", "", http.StatusBadRequest},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			recorder, ok := serveInMemory(server, httptest.NewRequest(test.method, test.path, strings.NewReader(test.body)))
			if !ok || recorder.Code != test.want {
				t.Errorf("HTTP status is %d, want %d: %s", recorder.Code, test.want, recorder.Body)
			}
		})
	}
}
