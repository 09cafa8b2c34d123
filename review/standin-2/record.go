package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case, with the time of each line since the start.
type record struct {
	mutex     sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecord(directory string) (*record, error) {
	file, err := os.Create(filepath.Join(directory, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, startedAt: time.Now()}, nil
}

// elapsed returns the time since the start of the case.
func (r *record) elapsed() time.Duration { return time.Since(r.startedAt) }

// addf writes a line.
func (r *record) addf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", r.elapsed().Seconds(), fmt.Sprintf(format, args...))
}
