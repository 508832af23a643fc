package logbuffer_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/common/logbuffer"
)

// blockedWriter is an output whose writes block until unblocked is closed.
type blockedWriter struct {
	mu        sync.Mutex
	unblocked chan struct{}
	text      bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblocked
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestBuffer(t *testing.T) {
	c := qt.New(t)
	c.Run("keeps lines whole and in order", func(c *qt.C) {
		var out bytes.Buffer
		b := logbuffer.New(&out)
		want := strings.Repeat("a line of the log\n", 2000)
		for line := range strings.Lines(want) {
			n, err := b.Write([]byte(line))
			c.Assert(err, qt.IsNil)
			c.Assert(n, qt.Equals, len(line))
		}
		c.Assert(b.Close(), qt.IsNil)
		c.Assert(out.String(), qt.Equals, want)
	})
	c.Run("never blocks and logs the dropped lines", func(c *qt.C) {
		synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
			c := qt.New(t)
			output := &blockedWriter{unblocked: make(chan struct{})}
			b := logbuffer.New(output)
			line := []byte(strings.Repeat("x", 1023) + "\n")
			for range 1000 {
				_, err := b.Write(line)
				c.Assert(err, qt.IsNil)
			}
			time.Sleep(time.Second)
			close(output.unblocked)
			c.Assert(b.Close(), qt.IsNil)
			c.Assert(output.text.String(), qt.Contains, "log lines dropped")
		})
	})
}
