package experiment

import (
	"fmt"
	"io"
	"strings"
)

const progressWidth = 40

// ProgressBar returns a function for Options.Progress that draws a progress bar
// on a terminal.
func ProgressBar(out io.Writer) func(done, total int) {
	return func(done, total int) {
		filled := progressWidth * done / total
		bar := strings.Repeat("#", filled) + strings.Repeat("-", progressWidth-filled)
		end := ""
		if done == total {
			end = "\n"
		}
		_, _ = fmt.Fprintf(out, "\r[%s] %d/%d runs%s", bar, done, total, end)
	}
}
