package scale

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the slopes as a table for people.
func WriteTable(out io.Writer, all []Series) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "sweep\tper\tquantity\tslope\t±\tat 0\tR²\tresidual\tpoints\tfrom\tto\t")
	for _, series := range all {
		first, last := series.Points[0], series.Points[len(series.Points)-1]
		cells := []string{
			series.Sweep, series.Size, series.Quantity,
			short(series.Fit.Slope), short(series.Fit.SlopeError), short(series.Fit.Intercept),
			strconv.FormatFloat(series.Fit.RSquared, 'f', 4, 64), short(series.Fit.ResidualError),
			strconv.Itoa(series.Fit.Points),
			fmt.Sprintf("%s@%g", short(first.Value), first.Size),
			fmt.Sprintf("%s@%g", short(last.Value), last.Size),
		}
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t")+"\t")
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("scale: table: %w", err)
	}
	return nil
}

// WriteSizes writes each quantity at today's and at the planned size.
func WriteSizes(out io.Writer, all []Series) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "sweep\tquantity\tsize\ttoday\t±\tis\tplanned\t±\tis\t")
	for _, series := range all {
		cells := []string{series.Sweep, series.Quantity, series.Size}
		for _, size := range []float64{series.Today, series.Planned} {
			value, standardError, measured := series.At(size)
			origin := "extrapolated"
			if measured {
				origin = "measured"
			}
			cells = append(cells, fmt.Sprintf("%s@%g", short(value), size), short(standardError), origin)
		}
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t")+"\t")
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("scale: table of sizes: %w", err)
	}
	return nil
}

// WriteCSV writes each point of each series with the series' fit.
func WriteCSV(out io.Writer, all []Series) error {
	writer := csv.NewWriter(out)
	header := []string{
		"sweep", "role", "size", "fixed", "quantity", "at", "value",
		"slope", "slope_error", "intercept", "r_squared", "residual_error",
	}
	rows := [][]string{header}
	for _, series := range all {
		for _, point := range series.Points {
			rows = append(rows, []string{
				series.Sweep, series.Role, series.Size, series.Fixed, series.Quantity,
				exact(point.Size), exact(point.Value),
				exact(series.Fit.Slope), exact(series.Fit.SlopeError), exact(series.Fit.Intercept),
				exact(series.Fit.RSquared), exact(series.Fit.ResidualError),
			})
		}
	}
	if err := writer.WriteAll(rows); err != nil {
		return fmt.Errorf("scale: CSV: %w", err)
	}
	return nil
}

func short(value float64) string { return strconv.FormatFloat(value, 'g', 4, 64) }

func exact(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
