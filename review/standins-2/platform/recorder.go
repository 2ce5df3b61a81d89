//go:build review2

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a case, with the time since its start in each line.
type recorder struct {
	start time.Time

	mutex sync.Mutex
	// mutex guards file.
	file *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file}, nil
}

// line writes one line to the record and to standard output.
func (r *recorder) line(format string, values ...any) {
	text := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = r.file.WriteString(text)
	fmt.Print(text)
}

// detail writes one line to the record only.
func (r *recorder) detail(format string, values ...any) {
	text := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = r.file.WriteString(text)
}

func (r *recorder) close() { _ = r.file.Close() }
