package front

import (
	"fmt"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/banksail/banksail/inbound"
	"github.com/banksail/banksail/internal/resource"
	"github.com/banksail/banksail/internal/traffic"
	"github.com/banksail/banksail/relay"
)

// servePeers starts the listener for requests of other nodes. The server is nil if the settings
// have no address for it.
func (f *Front) servePeers() (*http.Server, error) {
	if f.options.Settings.Peer == "" {
		return nil, nil
	}
	mux := http.NewServeMux()
	mux.Handle("/", relay.Handler(f.follower))
	mux.Handle(relay.ReportsPath, relay.ReportsHandler(f.rollouts))
	return f.serve(traffic.Nodes, f.options.Settings.Peer, mux, f.limits.connections("nodes", peersShare))
}

// serveDirectory starts the listener on which callers look up the addresses to connect to. The
// server is nil if the settings have no address for it.
func (f *Front) serveDirectory() (*http.Server, error) {
	if f.options.Settings.Directory == "" {
		return nil, nil
	}
	return f.serve(traffic.Checks, f.options.Settings.Directory, f.options.Directory(f), f.limits.connections("directory", directoryShare))
}

// metricsPath is the HTTP path of the node's metrics.
const metricsPath = "/metrics"

// serveMetrics registers the node's metrics and serves them over HTTP. It returns nil if there is
// no registry or no address, or if listening fails: a node without metrics still serves callers.
func (f *Front) serveMetrics() *http.Server {
	registry := f.options.Registry
	if registry == nil || f.options.Settings.Metrics == "" {
		return nil
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "banksail_belief_age_seconds", Help: "Age of what the node believes of the registry; -1 when nothing.",
	}, func() float64 { return max(f.viewAge().Seconds(), -1) }))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "banksail_table_version", Help: "Version of the table in force; 0 when there is none.",
	}, func() float64 {
		if table := f.gateway.Table(); table != nil {
			return float64(table.Version)
		}
		return 0
	}))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "banksail_live_nodes", Help: "Nodes that are believed to be live.",
	}, func() float64 { return float64(f.liveNodeCount.Load()) }))
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "banksail_invalid_entries_total", Help: "Entries of the registry that could not be read.",
	}, func() float64 { return float64(f.follower.InvalidEntries()) }))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "banksail_serving_nodes", Help: "Nodes to which callers are sent.",
	}, func() float64 { return float64(f.servingNodeCount()) }))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "banksail_evacuated_zones", Help: "Zones to whose servers nothing more is sent, as the operator asked.",
	}, func() float64 { return float64(f.gateway.EvacuatedZoneCount()) }))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "banksail_cut_off", Help: "1 while the node can't reach enough servers for some route.",
	}, func() float64 {
		if f.unable.Load() {
			return 1
		}
		return 0
	}))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "banksail_busy", Help: "1 while the node asks others for help.",
	}, func() float64 {
		if f.busy.Load() {
			return 1
		}
		return 0
	}))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "banksail_server_connections", Help: "Connections to servers that are open or being opened.",
	}, func() float64 { return float64(f.gateway.ConnectionCount()) }))
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	server, err := f.serve(traffic.Checks, f.options.Settings.Metrics, mux, f.limits.connections("metrics", metricsShare))
	if err != nil {
		f.options.Logger.Warn().Err(err).Msg("cannot listen on the metrics address; metrics are not served")
		return nil
	}
	return server
}

// serve starts an HTTP server on an address and returns without waiting for it. The purpose labels
// the listener's traffic metrics, and connections bounds its connections.
func (f *Front) serve(purpose traffic.Purpose, address string, handler http.Handler, connections *resource.Pool) (*http.Server, error) {
	server := &http.Server{
		Handler:           http.MaxBytesHandler(inbound.Handler(handler), maxBodyBytes),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
	}
	return server, f.startServer(server, purpose, address, func(listener net.Listener) net.Listener {
		return inbound.Listen(listener, inbound.Options{
			Timeouts:    func() inbound.Timeouts { return inbound.Timeouts{Header: headerTimeout, Idle: idleTimeout} },
			Connections: connections,
			Memory:      f.limits.others,
		})
	})
}

// serveCallers starts the listener for callers, whose limits the gateway enforces.
func (f *Front) serveCallers() (*http.Server, error) {
	server := &http.Server{Handler: f.gateway, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout}
	return server, f.startServer(server, traffic.Callers, f.options.Settings.Callers, f.gateway.WrapListener)
}

// startServer serves on an address. guard wraps the listener and makes its connections those of
// package inbound.
func (f *Front) startServer(server *http.Server, purpose traffic.Purpose, address string, guard func(net.Listener) net.Listener) error {
	listener, err := f.options.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("front: listening on %s: %w", address, err)
	}
	server.MaxHeaderBytes = maxHeaderBytes
	server.ConnContext = inbound.ConnContext
	server.DisableGeneralOptionsHandler = true
	listener = guard(f.meter.Listener(purpose, listener))
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return nil
}
