// Package logfmt provides loggers that write each event as one line of
// key=value pairs.
package logfmt

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes lines of key=value pairs to w.
func New(w io.Writer) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(&writer{out: w}).With().Timestamp().Logger()
}

// writer converts the JSON of each event to a line of key=value pairs. It does so
// without decoding the JSON into a map, because an owner writes thousands of lines per
// second.
type writer struct {
	out io.Writer
}

// conversion is the memory for one conversion.
type conversion struct {
	fields []field
	line   []byte
}

var conversions = sync.Pool{New: func() any { return new(conversion) }}

// Write implements [io.Writer]; p is the JSON of one event.
func (w *writer) Write(p []byte) (int, error) {
	c := conversions.Get().(*conversion)
	defer conversions.Put(c)
	var err error
	if c.fields, err = appendFields(c.fields[:0], p); err != nil {
		return 0, err
	}
	slices.SortStableFunc(c.fields, compareFields)
	c.line = c.line[:0]
	for i, f := range c.fields {
		if i+1 < len(c.fields) && bytes.Equal(f.key, c.fields[i+1].key) {
			// The last of several values of a key counts.
			continue
		}
		if len(c.line) > 0 {
			c.line = append(c.line, ' ')
		}
		c.line = append(append(c.line, f.key...), '=')
		if c.line, err = f.value.appendTo(c.line); err != nil {
			return 0, err
		}
	}
	c.line = append(c.line, '\n')
	if _, err := w.out.Write(c.line); err != nil {
		return 0, err
	}
	return len(p), nil
}

// leadingKeys are the keys that are written first, in this order. The others
// follow in alphabetical order.
var leadingKeys = []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName}

// rank returns the index of a key among the leading keys, or their number for any other
// key.
func rank(key []byte) int {
	for i, k := range leadingKeys {
		if string(key) == k {
			return i
		}
	}
	return len(leadingKeys)
}

func compareFields(a, b field) int {
	if a.rank != b.rank {
		return a.rank - b.rank
	}
	return bytes.Compare(a.key, b.key)
}

// formatValue returns the text of a decoded JSON value in a line.
func formatValue(v any) string {
	s, ok := v.(string)
	if !ok {
		s = fmt.Sprint(v)
	}
	if s == "" || strings.ContainsAny(s, " =\"\n\t") {
		return strconv.Quote(s)
	}
	return s
}
