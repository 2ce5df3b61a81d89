package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// ErrMetrics is returned when a node's metrics can't be read.
var ErrMetrics = errors.New("scale: metrics can't be read")

const (
	metricsPath         = "/metrics"
	maximumMetricsBytes = 4 << 20
	metricsTimeout      = 3 * time.Second
	processorMetric     = "process_cpu_seconds_total"
	memoryMetric        = "process_resident_memory_bytes"
	sendsMetric         = "banksail_sends_total"
	queriesMetric       = "banksail_queries_total"
)

// Reading is what a running node spent over a span.
type Reading struct {
	Address string
	Span    time.Duration
	// Processor is the share of one core, from 0.
	Processor float64
	// Memory is the resident memory at the end, in bytes.
	Memory float64
	// Queries and SubRequests are the numbers over the span.
	Queries, SubRequests float64
}

// ObserveNodes reads the metrics of running nodes at the begin and at the end
// of a span. It starts and stops no process.
func ObserveNodes(ctx context.Context, addresses []string, span time.Duration) ([]Reading, error) {
	client := &http.Client{Timeout: metricsTimeout}
	begin := time.Now()
	before, err := readAll(ctx, client, addresses)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrMetrics, ctx.Err())
	case <-time.After(span):
	}
	after, err := readAll(ctx, client, addresses)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(begin)
	var readings []Reading
	for index, address := range addresses {
		grown := func(name string) float64 { return after[index][name] - before[index][name] }
		readings = append(readings, Reading{
			Address: address, Span: elapsed,
			Processor:   grown(processorMetric) / elapsed.Seconds(),
			Memory:      after[index][memoryMetric],
			Queries:     grown(queriesMetric),
			SubRequests: grown(sendsMetric),
		})
	}
	return readings, nil
}

func readAll(ctx context.Context, client *http.Client, addresses []string) ([]map[string]float64, error) {
	var all []map[string]float64
	for _, address := range addresses {
		values, err := readMetrics(ctx, client, address)
		if err != nil {
			return nil, fmt.Errorf("%w: %s: %w", ErrMetrics, address, err)
		}
		all = append(all, values)
	}
	return all, nil
}

// readMetrics returns the counters and gauges, each summed over its labels.
func readMetrics(ctx context.Context, client *http.Client, address string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+metricsPath, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %s", response.Status)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(response.Body, maximumMetricsBytes))
	if err != nil {
		return nil, err
	}
	values := make(map[string]float64)
	for name, family := range families {
		for _, metric := range family.GetMetric() {
			values[name] += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	return values, nil
}

// WriteReadings writes readings as a table for people.
func WriteReadings(out io.Writer, readings []Reading) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "node\tseconds\tshare of a core\tresident MB\tqueries\tsub-requests\tprocessor µs/sub-request\t")
	for _, reading := range readings {
		cells := []string{
			reading.Address, short(reading.Span.Seconds()), short(reading.Processor), short(reading.Memory / 1e6),
			short(reading.Queries), short(reading.SubRequests), perSubRequest(reading),
		}
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t")+"\t")
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("scale: readings: %w", err)
	}
	return nil
}

func perSubRequest(reading Reading) string {
	if reading.SubRequests == 0 {
		return "-"
	}
	return short(reading.Processor * reading.Span.Seconds() * 1e6 / reading.SubRequests)
}
