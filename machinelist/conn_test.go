package machinelist

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

const validList = `{"version":3,"machines":[{"id":"a","address":"127.0.0.1:80","zone":"z","role":"node","state":"live","incarnation":"1"}]}`

func TestGetValidatesReplies(t *testing.T) {
	cases := []struct {
		name string
		code int
		body string
		want error
	}{
		{name: "list", code: 200, body: validList},
		{name: "empty list", code: 200, body: `{"version":3,"machines":[]}`},
		{name: "missing machines", code: 200, body: `{"version":3}`, want: ErrMalformed},
		{name: "missing version", code: 200, body: `{"machines":[]}`, want: ErrMalformed},
		{name: "unknown field", code: 200, body: `{"version":3,"machines":[],"x":1}`, want: ErrMalformed},
		{name: "unknown role", code: 200, body: `{"version":3,"machines":[{"id":"a","address":"127.0.0.1:80","role":"boss","state":"live"}]}`, want: ErrMalformed},
		{name: "address without port", code: 200, body: `{"version":3,"machines":[{"id":"a","address":"127.0.0.1","role":"node","state":"live"}]}`, want: ErrMalformed},
		{name: "unchanged", code: 304, want: ErrUnchanged},
		{name: "outage", code: 503, want: ErrUnavailable},
		{name: "unknown status", code: 418, want: ErrMalformed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(test.code)
				_, _ = io.WriteString(writer, test.body)
			}))
			defer server.Close()
			conn := NewHTTP(HTTPOptions{Address: server.Listener.Addr().String()})
			if _, err := conn.Get(t.Context()); !errors.Is(err, test.want) {
				t.Errorf("error is %v, want %v", err, test.want)
			}
		})
	}
}

func TestWatchRejectsOldVersion(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, validList)
	}))
	defer server.Close()
	conn := NewHTTP(HTTPOptions{Address: server.Listener.Addr().String()})
	if _, err := conn.Watch(t.Context(), 3, time.Second); !errors.Is(err, ErrMalformed) {
		t.Errorf("error is %v, want ErrMalformed", err)
	}
}

func TestStaticGetAndWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		static := NewStatic(Machine{ID: "a"})
		go func() {
			time.Sleep(time.Second)
			static.Upsert(Machine{ID: "b"})
		}()
		list, err := static.Watch(t.Context(), 1, time.Minute)
		if err != nil || len(list.Machines) != 2 {
			t.Errorf("got list %+v, error %v, want two machines", list, err)
		}
		if _, err := static.Watch(t.Context(), list.Version, time.Minute); !errors.Is(err, ErrUnchanged) {
			t.Errorf("error is %v, want ErrUnchanged", err)
		}
		static.SetDown(true)
		if _, err := static.Get(t.Context()); !errors.Is(err, ErrUnavailable) {
			t.Errorf("error is %v, want ErrUnavailable", err)
		}
	})
}

func FuzzDecodeList(f *testing.F) {
	f.Add(200, []byte(validList))
	f.Add(200, []byte(`{"version":1,"machines":null}`))
	f.Add(304, []byte(`[`))
	conn := NewHTTP(HTTPOptions{Address: "127.0.0.1:1"}).(*httpConn)
	f.Fuzz(func(t *testing.T, code int, data []byte) {
		list, err := conn.decode(data, code)
		if err == nil && (code != http.StatusOK || list.Machines == nil) {
			t.Fatalf("accepted %+v with HTTP status %d", list, code)
		}
	})
}
