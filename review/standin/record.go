package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, with the time since the
// start in milliseconds.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// add writes one line.
func (r *recorder) add(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", "\\n")
	fmt.Fprintf(r.file, "%8d ms  %s\n", time.Since(r.start).Milliseconds(), text)
}

func (r *recorder) close() { _ = r.file.Close() }
