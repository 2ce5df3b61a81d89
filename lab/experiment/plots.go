package experiment

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/banksail/banksail/lab/experiment/cluster"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 12 * vg.Millimeter
	// minTailShare is the share of queries at which the latency curves end: 1 in
	// 10,000.
	minTailShare = 1e-4
)

// WritePlots writes PNG plots for each workload and fault set into an existing
// directory: for each class a latency curve and the coverage over time, and one
// bar chart of the extra load.
func WritePlots(directory string, cells []*Cell) error {
	for _, block := range groupByFault(cells) {
		prefix := filepath.Join(directory, block[0].Workload+"-"+block[0].Fault)
		for index, class := range block[0].Summary.Classes {
			if err := plotLatency(block, index, prefix+"-latency-"+class.Name+".png"); err != nil {
				return err
			}
			if err := plotCoverage(block, index, prefix+"-coverage-"+class.Name+".png"); err != nil {
				return err
			}
		}
		if err := plotExtraLoad(block, prefix+"-extra-load.png"); err != nil {
			return err
		}
	}
	return nil
}

func savePlot(figure *plot.Plot, path string) error {
	if err := figure.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("experiment: save plot %s: %w", path, err)
	}
	return nil
}

func newPlot(block []*Cell, what, x, y string) *plot.Plot {
	figure := plot.New()
	figure.Title.Text = fmt.Sprintf("%s / %s: %s", block[0].Workload, block[0].Fault, what)
	figure.X.Label.Text = x
	figure.Y.Label.Text = y
	figure.Legend.Top = true
	figure.Add(plotter.NewGrid())
	return figure
}

// plotLatency plots the share of queries whose latency exceeds each value.
func plotLatency(block []*Cell, class int, path string) error {
	figure := newPlot(block, block[0].Summary.Classes[class].Name, "latency [ms]", "share of queries above")
	figure.Y.Scale = plot.LogScale{}
	figure.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	figure.Y.Min, figure.Y.Max = minTailShare, 1
	for index, cell := range block {
		points := tailCurve(&cell.Summary.Classes[class])
		if len(points) == 0 {
			continue
		}
		if err := addLine(figure, cell.Policy, index, points); err != nil {
			return err
		}
	}
	return savePlot(figure, path)
}

func tailCurve(class *ClassSummary) plotter.XYs {
	if class.Latency.TotalCount() == 0 {
		return nil
	}
	const pointsPerHalving = 4
	var points plotter.XYs
	for share, step := 1.0, 0; share > minTailShare; step++ {
		share = 1
		for range step / pointsPerHalving {
			share /= 2
		}
		share *= 1 - float64(step%pointsPerHalving)/(2*pointsPerHalving)
		points = append(points, plotter.XY{X: class.Quantile(percent * (1 - share)), Y: max(share, minTailShare)})
	}
	return points
}

func addLine(figure *plot.Plot, name string, index int, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("experiment: plot line: %w", err)
	}
	line.Color = plotutil.Color(index)
	line.Dashes = plotutil.Dashes(index)
	figure.Add(line)
	figure.Legend.Add(name, line)
	return nil
}

// plotCoverage plots the mean coverage of the queries by arrival time.
func plotCoverage(block []*Cell, class int, path string) error {
	what := block[0].Summary.Classes[class].Name + " (refused queries count as 0)"
	figure := newPlot(block, what, "time [s]", "mean coverage")
	figure.Y.Min, figure.Y.Max = 0, 1.05
	for index, cell := range block {
		var points plotter.XYs
		for bucket, point := range cell.Summary.Classes[class].Timeline {
			if point.Queries == 0 {
				continue
			}
			at := float64(bucket) * cluster.CoverageBucket.Seconds()
			points = append(points, plotter.XY{X: at, Y: point.Coverage / float64(point.Queries)})
		}
		if len(points) == 0 {
			continue
		}
		if err := addLine(figure, cell.Policy, index, points); err != nil {
			return err
		}
	}
	return savePlot(figure, path)
}

func plotExtraLoad(block []*Cell, path string) error {
	figure := newPlot(block, "extra load", "", "% of first sends or first work")
	var sends, work plotter.Values
	var names []string
	for _, cell := range block {
		sends = append(sends, percent*cell.Summary.ExtraSendShare)
		work = append(work, percent*cell.Summary.ExtraWorkShare)
		names = append(names, cell.Policy)
	}
	for index, bars := range []struct {
		name   string
		values plotter.Values
	}{{"sends", sends}, {"work", work}} {
		chart, err := plotter.NewBarChart(bars.values, barWidth)
		if err != nil {
			return fmt.Errorf("experiment: bar chart: %w", err)
		}
		chart.Color = plotutil.Color(index)
		chart.Offset = barWidth * vg.Length(2*index-1) / 2
		figure.Add(chart)
		figure.Legend.Add(bars.name, chart)
	}
	figure.NominalX(names...)
	return savePlot(figure, path)
}
