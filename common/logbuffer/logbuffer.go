// Package logbuffer writes log lines in the background. The buffer is bounded
// and writes to it never block: lines that do not fit are dropped and counted.
package logbuffer

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPending is the maximum size in bytes of the lines that are buffered for
	// a slow reader of the log.
	maxPending = 256 << 10
	// flushInterval is the time between writes to the output. It lets one write
	// contain many lines.
	flushInterval = 200 * time.Millisecond
	// maxWrite is the maximum size of one write in bytes. Writes to a pipe are
	// atomic up to this size.
	maxWrite = 4 << 10
	// minReused is the size in bytes up to which memory is always reused. Larger memory
	// is released if the lines filled less than one part in maxUnusedFactor of it.
	minReused       = 16 << 10
	maxUnusedFactor = 8
)

// Buffer buffers log lines and writes them to an output. It is safe for
// concurrent use.
type Buffer struct {
	out  io.Writer
	stop chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	// spare is the memory of the lines that were written last, for later lines.
	spare   []byte
	dropped int
}

// New returns a buffer that writes to out in the background until it is closed.
func New(out io.Writer) *Buffer {
	b := &Buffer{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements [io.Writer]. It buffers the whole line or drops it, and never
// returns an error.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > maxPending {
		b.dropped++
		return len(line), nil
	}
	b.pending = append(b.pending, line...)
	return len(line), nil
}

func (b *Buffer) run() {
	defer close(b.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			b.flush()
			return
		case <-ticker.C:
			b.flush()
		}
	}
}

func (b *Buffer) flush() {
	b.mu.Lock()
	lines, dropped := b.pending, b.dropped
	b.pending, b.spare, b.dropped = b.spare, nil, 0
	b.mu.Unlock()
	defer b.reuse(lines)
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=warn message=\"log lines dropped\" lines=%d\n", dropped)
	}
	if len(lines) == 0 {
		return
	}
	for len(lines) > 0 {
		n := chunkLength(lines)
		if _, err := b.out.Write(lines[:n]); err != nil {
			b.mu.Lock()
			b.dropped += dropped + 1
			b.mu.Unlock()
			return
		}
		lines = lines[n:]
	}
}

// reuse keeps the memory of lines that have been written, unless much of it stayed unused.
func (b *Buffer) reuse(lines []byte) {
	if cap(lines) > minReused && cap(lines) > maxUnusedFactor*len(lines) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spare = lines[:0]
}

// chunkLength returns the number of bytes for the next write: as many whole
// lines as fit into maxWrite, or maxWrite bytes if the first line is longer.
func chunkLength(lines []byte) int {
	if len(lines) <= maxWrite {
		return len(lines)
	}
	if n := bytes.LastIndexByte(lines[:maxWrite], '\n'); n >= 0 {
		return n + 1
	}
	return maxWrite
}

// Close writes the buffered lines and stops the background writer.
func (b *Buffer) Close() error {
	close(b.stop)
	<-b.done
	return nil
}
