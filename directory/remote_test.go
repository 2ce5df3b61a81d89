package directory_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/banksail/banksail/directory"
)

// resolver answers what it holds and notes what it was asked.
type resolver struct {
	answer directory.Answer
	err    error
	host   string
	caller directory.Caller
	most   int
}

func (r *resolver) Resolve(_ context.Context, host string, caller directory.Caller, most int) (directory.Answer, error) {
	r.host, r.caller, r.most = host, caller, most
	return r.answer, r.err
}

func remoteTo(t *testing.T, handler http.Handler) *directory.Remote {
	t.Helper()
	server := httptest.NewServer(handler)
	remote := directory.NewRemote(strings.TrimPrefix(server.URL, "http://"), nil)
	t.Cleanup(func() {
		remote.Close()
		server.Close()
	})
	return remote
}

func TestRemoteAnswers(t *testing.T) {
	node := &resolver{answer: directory.Answer{Addresses: []string{"10.1.0.1:80", "10.1.0.2:80"}, TimeToLive: 5 * time.Second}}
	got, err := remoteTo(t, directory.Handler(node)).Resolve(t.Context(), "a.example", directory.Caller{Zone: "z&x", Region: "r"}, 64)
	if err != nil || !slices.Equal(got.Addresses, node.answer.Addresses) || got.TimeToLive != node.answer.TimeToLive {
		t.Errorf("%v %v", got, err)
	}
	if node.host != "a.example" || node.caller.Zone != "z&x" || node.caller.Region != "r" || node.most != 64 {
		t.Errorf("the node was asked for %q %v %d", node.host, node.caller, node.most)
	}
}

// A node that has no answer, gives none in time or gives nonsense is one that is not there.
func TestRemoteWithoutAnAnswer(t *testing.T) {
	release := make(chan struct{})
	for name, handler := range map[string]http.Handler{
		"unavailable": directory.Handler(&resolver{err: directory.ErrUnavailable}),
		"nonsense":    http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("[")) }),
		"silent":      http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }),
	} {
		remote := remoteTo(t, handler)
		if _, err := remote.Resolve(t.Context(), "h", directory.Caller{}, 8); !errors.Is(err, directory.ErrUnavailable) {
			t.Errorf("%s: %v", name, err)
		}
	}
	close(release)
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	remote := directory.NewRemote(strings.TrimPrefix(gone.URL, "http://"), nil)
	defer remote.Close()
	if _, err := remote.Resolve(t.Context(), "h", directory.Caller{}, 8); !errors.Is(err, directory.ErrUnavailable) {
		t.Errorf("gone: %v", err)
	}
}

func TestHandlerNamesTheFieldAtFault(t *testing.T) {
	for _, most := range []string{"", "0", "-1", "x"} {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodGet, "/addresses?most="+most, nil)
		directory.Handler(&resolver{}).ServeHTTP(recorder, request)
		if recorder.Code != http.StatusBadRequest || !strings.Contains(recorder.Body.String(), "most") {
			t.Errorf("most=%s: %d %s", most, recorder.Code, recorder.Body)
		}
	}
}
