package experiment

import (
	"fmt"
	"io"
	"strings"
)

const progressWidth = 40

// ProgressBar returns a function for Options.Progress that draws a bar on a
// terminal.
func ProgressBar(out io.Writer) func(done, all int) {
	return func(done, all int) {
		filled := progressWidth * done / all
		bar := strings.Repeat("#", filled) + strings.Repeat("-", progressWidth-filled)
		fmt.Fprintf(out, "\r[%s] %d/%d runs", bar, done, all)
		if done == all {
			fmt.Fprintln(out)
		}
	}
}
