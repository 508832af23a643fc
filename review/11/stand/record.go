package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begun: time.Now()}, nil
}

// at returns the time since the record was begun, in seconds.
func (r *record) at() float64 { return time.Since(r.begun).Seconds() }

func (r *record) printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, a...)
	fmt.Fprintf(r.file, "%8.3f  %s\n", r.at(), strings.TrimRight(line, "\n"))
}
