package node

import (
	"fmt"
	"net/http"
)

// Paths of the endpoints beside the operators' API.
const (
	healthPath  = "/healthz"
	readyPath   = "/readyz"
	metricsPath = "/metrics"
)

// addHealthEndpoints serves health, readiness and metrics.
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

// ready says whether the node takes queries, and why not.
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
