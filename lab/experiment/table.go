package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
)

const percent = 100

// WriteTable writes the results as aligned text: for each workload and fault set
// a table of latency and coverage per policy and class, with the difference from
// the reference policy, and a table of load per policy.
func WriteTable(out io.Writer, file *File, cells []*Cell) error {
	for _, block := range groupByFault(cells) {
		if err := writeBlock(out, file, block); err != nil {
			return err
		}
	}
	return nil
}

// groupByFault groups consecutive cells that have the same workload and fault set.
func groupByFault(cells []*Cell) [][]*Cell {
	var grouped [][]*Cell
	for _, cell := range cells {
		last := len(grouped) - 1
		if last >= 0 && grouped[last][0].Workload == cell.Workload && grouped[last][0].Fault == cell.Fault {
			grouped[last] = append(grouped[last], cell)
			continue
		}
		grouped = append(grouped, []*Cell{cell})
	}
	return grouped
}

// errorWriter writes formatted text until the first error, which it keeps.
type errorWriter struct {
	out io.Writer
	err error
}

func (p *errorWriter) printf(format string, values ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, values...)
	}
}

// writeAligned aligns the tab-separated columns that write produces.
func writeAligned(out io.Writer, write func(table *errorWriter)) error {
	columns := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	table := &errorWriter{out: columns}
	write(table)
	if table.err != nil {
		return table.err
	}
	return columns.Flush()
}

func writeBlock(out io.Writer, file *File, block []*Cell) error {
	heading := &errorWriter{out: out}
	heading.printf("\n%s / %s   (%d seeds from %d; latency in ms, shares in %%)\n",
		block[0].Workload, block[0].Fault, file.Seeds.Count, file.Seeds.First)
	if heading.err != nil {
		return heading.err
	}
	err := writeAligned(out, func(table *errorWriter) {
		table.printf("policy\tclass\tp50\tp90\tp99\tp99.9\tp99 least\tp99 most\t"+
			"coverage\tworst\tbelow min\trefused\tp99 - %s (95%%)\t\n", file.Reference)
		reference := findPolicy(block, file.Reference)
		for _, cell := range block {
			for index := range cell.Summary.Classes {
				writeClass(table, cell, reference, index)
			}
		}
	})
	if err != nil {
		return err
	}
	return writeAligned(out, func(table *errorWriter) { writeLoads(table, block) })
}

func findPolicy(block []*Cell, policy string) *Cell {
	for _, cell := range block {
		if cell.Policy == policy {
			return cell
		}
	}
	return nil
}

func writeClass(table *errorWriter, cell, reference *Cell, index int) {
	class := &cell.Summary.Classes[index]
	lowest, highest := minMax(class.TailLatency)
	table.printf("%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.3f\t%.2f\t%s\t%s\t\n",
		cell.Policy, class.Name,
		class.Quantile(50), class.Quantile(90), class.Quantile(tailPercentile), class.Quantile(99.9),
		lowest, highest, percent*class.MeanCoverage(), percent*class.WorstCoverage,
		percent*class.BelowMinimum, formatRefusals(class), formatDifference(cell, reference, index))
}

func minMax(values []float64) (lowest, highest float64) {
	lowest, highest = values[0], values[0]
	for _, value := range values {
		lowest, highest = min(lowest, value), max(highest, value)
	}
	return lowest, highest
}

// formatRefusals formats the refused queries by reason, in percent of the queries
// that arrived.
func formatRefusals(class *ClassSummary) string {
	if class.RefusedCount() == 0 {
		return "0"
	}
	var reasons []string
	for reason, count := range class.Refused {
		reasons = append(reasons, fmt.Sprintf("%s %.2f", reason, percent*float64(count)/float64(class.Arrived)))
	}
	sort.Strings(reasons)
	return strings.Join(reasons, ", ")
}

func formatDifference(cell, reference *Cell, index int) string {
	if cell == reference {
		return "-"
	}
	paired := pairedDifference(cell.Summary.Classes[index].TailLatency, reference.Summary.Classes[index].TailLatency)
	return fmt.Sprintf("%+.2f ± %.2f", paired.Mean, paired.HalfWidth)
}

func writeLoads(table *errorWriter, block []*Cell) {
	table.printf("policy\textra sends\textra work\twasted work\tuseful throughput\tunanswered\tfaulty\t\n")
	for _, cell := range block {
		summary := cell.Summary
		table.printf("%s\t%.2f\t%.2f\t%.2f\t%.1f\t%d\t%d\t\n", cell.Policy,
			percent*summary.ExtraSendShare, percent*summary.ExtraWorkShare, percent*summary.WastedWorkShare,
			percent*summary.UsefulThroughput, summary.Unanswered, summary.InvalidActions)
	}
}

var csvHeader = []string{
	"workload", "fault", "policy", "class", "arrived", "ran", "useful", "refused",
	"p50_ms", "p90_ms", "p99_ms", "p99_9_ms", "p99_least_ms", "p99_most_ms",
	"p99_difference_ms", "p99_difference_half_width_ms",
	"coverage_mean", "coverage_worst", "below_minimum_share",
	"extra_send_share", "extra_work_share", "wasted_work_share", "useful_throughput",
}

// WriteCSV writes a header and one row per cell and class.
func WriteCSV(out io.Writer, file *File, cells []*Cell) error {
	writer := csv.NewWriter(out)
	if err := writer.Write(csvHeader); err != nil {
		return err
	}
	for _, block := range groupByFault(cells) {
		reference := findPolicy(block, file.Reference)
		for _, cell := range block {
			for index := range cell.Summary.Classes {
				if err := writer.Write(csvRow(cell, reference, index)); err != nil {
					return err
				}
			}
		}
	}
	writer.Flush()
	return writer.Error()
}

func csvRow(cell, reference *Cell, index int) []string {
	class, summary := &cell.Summary.Classes[index], cell.Summary
	lowest, highest := minMax(class.TailLatency)
	paired := pairedDifference(class.TailLatency, reference.Summary.Classes[index].TailLatency)
	row := []string{
		cell.Workload, cell.Fault, cell.Policy, class.Name,
		strconv.Itoa(class.Arrived), strconv.Itoa(class.Ran), strconv.Itoa(class.Useful), strconv.Itoa(class.RefusedCount()),
	}
	for _, value := range []float64{
		class.Quantile(50), class.Quantile(90), class.Quantile(tailPercentile), class.Quantile(99.9), lowest, highest,
		paired.Mean, paired.HalfWidth,
		class.MeanCoverage(), class.WorstCoverage, class.BelowMinimum,
		summary.ExtraSendShare, summary.ExtraWorkShare, summary.WastedWorkShare, summary.UsefulThroughput,
	} {
		row = append(row, strconv.FormatFloat(value, 'g', 6, 64))
	}
	return row
}
