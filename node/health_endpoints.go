package node

import (
	"fmt"
	"net/http"
)

// Paths served on the operator listener besides the operator API.
const (
	healthPath  = "/healthz"
	readyPath   = "/readyz"
	metricsPath = "/metrics"
)

// addHealthEndpoints registers the health, readiness and metrics endpoints.
func (n *Node) addHealthEndpoints(mux *http.ServeMux) {
	mux.HandleFunc("GET "+healthPath, func(writer http.ResponseWriter, _ *http.Request) {
		answerText(writer, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET "+readyPath, func(writer http.ResponseWriter, _ *http.Request) {
		ready, reason := n.ready()
		status := http.StatusOK
		if !ready {
			status = http.StatusServiceUnavailable
		}
		answerText(writer, status, reason)
	})
	mux.Handle("GET "+metricsPath, n.metrics.Handler())
}

// ready reports whether the node accepts queries, with a description of its
// state.
func (n *Node) ready() (bool, string) {
	current := n.activeConfig.Load()
	switch {
	case n.stopping.Load():
		return false, "stopping"
	case current == nil:
		return false, "no configuration"
	default:
		return true, fmt.Sprintf("ready at revision %d", current.revision)
	}
}

func answerText(writer http.ResponseWriter, status int, text string) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(status)
	_, _ = fmt.Fprintln(writer, text)
}
