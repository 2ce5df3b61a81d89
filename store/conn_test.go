package store_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/store"
)

// manualClock is a clock that advances only when a test calls advance.
type manualClock struct {
	mutex sync.Mutex
	now   time.Time
}

func (c *manualClock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *manualClock) advance(duration time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = c.now.Add(duration)
}

// forEachConn runs a test against a Memory directly and against the same kind
// of service over HTTP.
func forEachConn(t *testing.T, test func(t *testing.T, conn store.Conn, memory *store.Memory, clock *manualClock)) {
	t.Run("memory", func(t *testing.T) {
		clock := &manualClock{now: time.Unix(1000, 0)}
		memory := store.NewMemory(store.MemoryOptions{Now: clock.Now})
		test(t, memory, memory, clock)
	})
	t.Run("HTTP", func(t *testing.T) {
		clock := &manualClock{now: time.Unix(1000, 0)}
		memory := store.NewMemory(store.MemoryOptions{Now: clock.Now})
		server := httptest.NewServer(emulator.NewStoreServer(memory))
		t.Cleanup(server.Close)
		test(t, store.NewHTTP(store.HTTPOptions{Address: server.Listener.Addr().String()}), memory, clock)
	})
}

const key = "banksail/configuration"

func mustPut(t *testing.T, conn store.Conn, value string, base uint64, lease store.LeaseID) store.Record {
	t.Helper()
	record, err := conn.Put(t.Context(), key, []byte(value), base, lease)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func TestPutComparesRevisions(t *testing.T) {
	forEachConn(t, func(t *testing.T, conn store.Conn, _ *store.Memory, _ *manualClock) {
		if _, err := conn.Get(t.Context(), key); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("error is %v, want ErrNotFound", err)
		}
		first := mustPut(t, conn, "one", 0, "")
		if _, err := conn.Put(t.Context(), key, []byte("two"), 0, ""); !errors.Is(err, store.ErrConflict) {
			t.Errorf("creation of an existing record: %v, want ErrConflict", err)
		}
		second := mustPut(t, conn, "two", first.Revision, "")
		if _, err := conn.Put(t.Context(), key, []byte("three"), first.Revision, ""); !errors.Is(err, store.ErrConflict) {
			t.Errorf("put on an old revision: %v, want ErrConflict", err)
		}
		record, err := conn.Get(t.Context(), key)
		if err != nil || string(record.Value) != "two" || record.Revision != second.Revision || second.Revision <= first.Revision {
			t.Errorf("record is %+v, %v", record, err)
		}
	})
}

func TestWatch(t *testing.T) {
	forEachConn(t, func(t *testing.T, conn store.Conn, memory *store.Memory, _ *manualClock) {
		first := mustPut(t, conn, "one", 0, "")
		if _, err := conn.Watch(t.Context(), key, first.Revision, 0); !errors.Is(err, store.ErrUnchanged) {
			t.Errorf("error is %v, want ErrUnchanged", err)
		}
		changed := make(chan store.Record, 1)
		go func() {
			record, _ := conn.Watch(t.Context(), key, first.Revision, time.Minute)
			changed <- record
		}()
		mustPut(t, memory, "two", first.Revision, "")
		if record := <-changed; string(record.Value) != "two" {
			t.Errorf("the watch returned %+v", record)
		}
	})
}

func TestLeases(t *testing.T) {
	forEachConn(t, func(t *testing.T, conn store.Conn, _ *store.Memory, clock *manualClock) {
		lease, err := conn.Grant(t.Context(), 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		mustPut(t, conn, "held", 0, lease)
		clock.advance(9 * time.Second)
		if err := conn.KeepAlive(t.Context(), lease); err != nil {
			t.Error(err)
		}
		clock.advance(9 * time.Second)
		if _, err := conn.Get(t.Context(), key); err != nil {
			t.Errorf("the record of a renewed lease: %v", err)
		}
		clock.advance(time.Second)
		if _, err := conn.Get(t.Context(), key); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("the record of an expired lease: %v, want ErrNotFound", err)
		}
		if err := conn.KeepAlive(t.Context(), lease); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("renewal of an expired lease: %v, want ErrNotFound", err)
		}
		if _, err := conn.Put(t.Context(), key, nil, 0, lease); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("put with an expired lease: %v, want ErrNotFound", err)
		}
		again, err := conn.Grant(t.Context(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		mustPut(t, conn, "held", 0, again)
		if err := conn.Revoke(t.Context(), again); err != nil {
			t.Error(err)
		}
		if _, err := conn.Get(t.Context(), key); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("the record of a revoked lease: %v, want ErrNotFound", err)
		}
	})
}

func TestRevisionsGrowAcrossRemoval(t *testing.T) {
	forEachConn(t, func(t *testing.T, conn store.Conn, _ *store.Memory, clock *manualClock) {
		lease, err := conn.Grant(t.Context(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		first := mustPut(t, conn, "one", 0, lease)
		clock.advance(time.Second)
		if second := mustPut(t, conn, "two", 0, ""); second.Revision <= first.Revision {
			t.Errorf("revision %d after revision %d, want a higher one", second.Revision, first.Revision)
		}
	})
}

func TestPutFaults(t *testing.T) {
	cases := []struct {
		name        string
		faults      store.MemoryFaults
		want        error
		takesEffect bool
	}{
		{name: "down", faults: store.MemoryFaults{Down: true}, want: store.ErrUnavailable},
		{name: "lost reply", faults: store.MemoryFaults{LoseReplies: 1}, want: store.ErrOutcomeUnknown, takesEffect: true},
		{name: "cut change", faults: store.MemoryFaults{DropChanges: 1}, want: store.ErrOutcomeUnknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			forEachConn(t, func(t *testing.T, conn store.Conn, memory *store.Memory, _ *manualClock) {
				memory.SetFaults(test.faults)
				if _, err := conn.Put(t.Context(), key, []byte("one"), 0, ""); !errors.Is(err, test.want) {
					t.Errorf("error is %v, want %v", err, test.want)
				}
				memory.SetFaults(store.MemoryFaults{})
				if _, err := conn.Get(t.Context(), key); (err == nil) != test.takesEffect {
					t.Errorf("read after the fault: %v, want the change in effect: %v", err, test.takesEffect)
				}
			})
		})
	}
}

func TestLeaseFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults store.MemoryFaults
		want   error
	}{
		{name: "down", faults: store.MemoryFaults{Down: true}, want: store.ErrUnavailable},
		{name: "lost reply", faults: store.MemoryFaults{LoseReplies: 10}, want: store.ErrOutcomeUnknown},
		{name: "cut change", faults: store.MemoryFaults{DropChanges: 10}, want: store.ErrOutcomeUnknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			forEachConn(t, func(t *testing.T, conn store.Conn, memory *store.Memory, _ *manualClock) {
				lease, err := conn.Grant(t.Context(), time.Second)
				if err != nil {
					t.Fatal(err)
				}
				memory.SetFaults(test.faults)
				if granted, err := conn.Grant(t.Context(), time.Second); !errors.Is(err, test.want) || granted != "" {
					t.Errorf("grant: %q, %v, want %v", granted, err, test.want)
				}
				if err := conn.KeepAlive(t.Context(), lease); !errors.Is(err, test.want) {
					t.Errorf("keep-alive: %v, want %v", err, test.want)
				}
				if err := conn.Revoke(t.Context(), lease); !errors.Is(err, test.want) {
					t.Errorf("revoke: %v, want %v", err, test.want)
				}
			})
		})
	}
}

func TestStaleReads(t *testing.T) {
	forEachConn(t, func(t *testing.T, conn store.Conn, memory *store.Memory, _ *manualClock) {
		first := mustPut(t, conn, "one", 0, "")
		mustPut(t, conn, "two", first.Revision, "")
		memory.SetFaults(store.MemoryFaults{StaleRevisions: 1})
		record, err := conn.Get(t.Context(), key)
		if err != nil || string(record.Value) != "one" || record.Revision != first.Revision {
			t.Errorf("stale record is %+v, %v", record, err)
		}
		copy(record.Value, "two")
		if again, err := conn.Get(t.Context(), key); err != nil || string(again.Value) != "one" {
			t.Errorf("modifying a returned value changed the stored record: %+v, %v", again, err)
		}
	})
}

func TestRateLimit(t *testing.T) {
	forEachConn(t, func(t *testing.T, conn store.Conn, memory *store.Memory, clock *manualClock) {
		memory.SetFaults(store.MemoryFaults{CallsPerSecond: 1})
		mustPut(t, conn, "one", 0, "")
		if _, err := conn.Put(t.Context(), key, []byte("two"), 1, ""); !errors.Is(err, store.ErrRateLimited) {
			t.Errorf("error is %v, want ErrRateLimited", err)
		}
		clock.advance(time.Second)
		if record, err := conn.Get(t.Context(), key); err != nil || string(record.Value) != "one" {
			t.Errorf("record is %+v, %v", record, err)
		}
	})
}

func TestPutIsNotResentAfterConnectionCloses(t *testing.T) {
	var mutex sync.Mutex
	var methods []string
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		mutex.Lock()
		methods = append(methods, request.Method)
		mutex.Unlock()
		if request.Method == http.MethodPut {
			_, _ = io.Copy(io.Discard, request.Body)
			panic(http.ErrAbortHandler)
		}
		writer.WriteHeader(http.StatusNotFound)
	}))
	defer server.Close()
	conn := store.NewHTTP(store.HTTPOptions{Address: server.Listener.Addr().String(), Connections: 1})
	if _, err := conn.Get(t.Context(), key); !errors.Is(err, store.ErrNotFound) {
		t.Fatal(err)
	}
	if _, err := conn.Put(t.Context(), key, []byte("one"), 0, ""); !errors.Is(err, store.ErrOutcomeUnknown) {
		t.Errorf("error is %v, want ErrOutcomeUnknown", err)
	}
	if _, err := conn.Get(t.Context(), key); !errors.Is(err, store.ErrNotFound) {
		t.Fatal(err)
	}
	mutex.Lock()
	defer mutex.Unlock()
	if got := strings.Join(methods, " "); got != "GET PUT GET" {
		t.Errorf("the service received %q, want each request once", got)
	}
}

func TestPutReplies(t *testing.T) {
	cases := []struct {
		name string
		code int
		tag  string
		want error
	}{
		{name: "swapped", code: 200, tag: `"8"`},
		{name: "conflict", code: 409, want: store.ErrConflict},
		{name: "precondition failed", code: 412, want: store.ErrConflict},
		{name: "rate limited", code: 429, want: store.ErrRateLimited},
		{name: "outage", code: 503, want: store.ErrUnavailable},
		{name: "internal error", code: 500, want: store.ErrOutcomeUnknown},
		{name: "time-out of something in between", code: 504, want: store.ErrOutcomeUnknown},
		{name: "redirect", code: 307, want: store.ErrOutcomeUnknown},
		{name: "no entity tag", code: 200, want: store.ErrOutcomeUnknown},
		{name: "weak entity tag", code: 200, tag: `W/"8"`, want: store.ErrOutcomeUnknown},
		{name: "revision that does not grow", code: 200, tag: `"7"`, want: store.ErrOutcomeUnknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("ETag", test.tag)
				writer.Header().Set("Location", "/")
				writer.WriteHeader(test.code)
			}))
			defer server.Close()
			conn := store.NewHTTP(store.HTTPOptions{Address: server.Listener.Addr().String()})
			if _, err := conn.Put(t.Context(), key, []byte("one"), 7, ""); !errors.Is(err, test.want) {
				t.Errorf("error is %v, want %v", err, test.want)
			}
		})
	}
}

func TestUnreachableServiceIsUnavailable(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
	conn := store.NewHTTP(store.HTTPOptions{Address: "10.0.0.1:1", Dial: refuse})
	if _, err := conn.Put(t.Context(), key, nil, 0, ""); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("put: %v, want ErrUnavailable", err)
	}
	if _, err := conn.Get(t.Context(), key); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("get: %v, want ErrUnavailable", err)
	}
}

func TestSlowServiceTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory(store.MemoryOptions{})
		memory.SetFaults(store.MemoryFaults{DelayMilliseconds: 5000})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := memory.Get(ctx, key); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("error is %v, want ErrUnavailable", err)
		}
	})
}

func TestInvalidKeys(t *testing.T) {
	for _, invalid := range []string{"", "/a", "a//b", "a/../b", "a b", "a?b", "a/", "é"} {
		if err := store.ValidateKey(invalid); !errors.Is(err, store.ErrInvalid) {
			t.Errorf("key %q: error is %v, want ErrInvalid", invalid, err)
		}
	}
}

func TestInvalidArguments(t *testing.T) {
	forEachConn(t, func(t *testing.T, conn store.Conn, _ *store.Memory, _ *manualClock) {
		const invalidKey = "../key"
		calls := map[string]func() error{
			"get": func() error {
				_, err := conn.Get(t.Context(), invalidKey)
				return err
			},
			"watch": func() error {
				_, err := conn.Watch(t.Context(), invalidKey, 1, time.Minute)
				return err
			},
			"put": func() error {
				_, err := conn.Put(t.Context(), invalidKey, nil, 0, "")
				return err
			},
			"put under a lease": func() error {
				_, err := conn.Put(t.Context(), key, nil, 0, invalidKey)
				return err
			},
			"put of a large value": func() error {
				_, err := conn.Put(t.Context(), key, make([]byte, store.MaximumValueBytes+1), 0, "")
				return err
			},
			"keep-alive": func() error { return conn.KeepAlive(t.Context(), invalidKey) },
			"revoke":     func() error { return conn.Revoke(t.Context(), invalidKey) },
		}
		for name, call := range calls {
			if err := call(); !errors.Is(err, store.ErrInvalid) {
				t.Errorf("%s: %v, want ErrInvalid", name, err)
			}
		}
	})
}
