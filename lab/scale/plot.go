package scale

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 4 * vg.Inch
	plotHeight = 3 * vg.Inch
)

var notInFileNames = regexp.MustCompile(`[^a-z0-9]+`)

// WritePlots writes one PNG for each series into the directory, which is made
// when it is missing. It returns the files' paths.
func WritePlots(directory string, all []Series) ([]string, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, fmt.Errorf("scale: plots: %w", err)
	}
	var paths []string
	for _, series := range all {
		path := filepath.Join(directory, series.fileName())
		if err := series.plot(path); err != nil {
			return paths, fmt.Errorf("scale: plot %s: %w", path, err)
		}
		paths = append(paths, path)
	}
	return paths, nil
}

func (s Series) fileName() string {
	name := strings.ReplaceAll(strings.ToLower(s.Sweep+"-"+s.Quantity), "µ", "u")
	return strings.Trim(notInFileNames.ReplaceAllString(name, "-"), "-") + ".png"
}

func (s Series) plot(path string) error {
	canvas := plot.New()
	canvas.Title.Text = fmt.Sprintf("%s: R² %.3f", s.Sweep, s.Fit.RSquared)
	canvas.X.Label.Text = s.Size
	canvas.Y.Label.Text = s.Quantity
	measured := make(plotter.XYs, 0, len(s.Points))
	for _, point := range s.Points {
		measured = append(measured, plotter.XY{X: point.Size, Y: point.Value})
	}
	dots, err := plotter.NewScatter(measured)
	if err != nil {
		return err
	}
	first, last := s.Points[0].Size, s.Points[len(s.Points)-1].Size
	line, err := plotter.NewLine(plotter.XYs{{X: first, Y: s.Fit.At(first)}, {X: last, Y: s.Fit.At(last)}})
	if err != nil {
		return err
	}
	line.Color = color.RGBA{R: 180, A: 255}
	canvas.Add(plotter.NewGrid(), line, dots)
	canvas.Y.Min = min(canvas.Y.Min, 0)
	return canvas.Save(plotWidth, plotHeight, path)
}
