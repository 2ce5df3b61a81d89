package main

import (
	"os"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/front"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/platform"
	"github.com/banksail/banksail/telemetry"
)

//go:generate wire

// logOptions are the minimum level of the log and its rate limits, in lines and bytes per second.
type logOptions struct {
	level                          string
	linesPerSecond, bytesPerSecond int
}

func newOutput(options logOptions) *telemetry.BoundedWriter {
	return telemetry.NewBoundedWriter(os.Stdout, options.linesPerSecond, options.bytesPerSecond)
}

func newLogger(settings platform.Settings, options logOptions, output *telemetry.BoundedWriter) (zerolog.Logger, error) {
	return telemetry.NewLogger(output, options.level, settings.Front.Node)
}

func newRegistry(output *telemetry.BoundedWriter) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "banksail_log_lines_dropped_total", Help: "Lines over the log's ceiling, or for which the output had no room.",
	}, func() float64 { return float64(output.DroppedLines()) }))
	return registry
}

func newStore(settings platform.Settings, registry *prometheus.Registry, logger zerolog.Logger) *platform.Store {
	return platform.NewStore(platform.StoreOptions{Address: settings.StoreAddress, Registry: registry, Logger: logger})
}

func newOptions(
	settings platform.Settings, store *platform.Store, registry *prometheus.Registry, logger zerolog.Logger, disabled mechanism.Disabled,
) front.Options {
	started := time.Now().UnixNano()
	return front.Options{
		Settings:      settings.Front,
		Incarnation:   strconv.FormatInt(started, 36),
		Headers:       platform.Headers(),
		AnswerHeaders: platform.AnswerHeaders(),
		Source:        store,
		Registrar:     store,
		Rollouts:      store,
		Quarantines:   store,
		Readiness:     platform.ReadinessHandler,
		Directory:     platform.DirectoryHandler,
		Logger:        logger,
		Registry:      registry,
		Seed:          uint64(started),
		Disabled:      disabled,
	}
}
