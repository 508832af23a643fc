// Package logfmt provides loggers that write each event as one line of
// key=value pairs.
package logfmt

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes lines of key=value pairs to w.
func New(w io.Writer) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(&writer{out: w}).With().Timestamp().Logger()
}

// writer converts the JSON of each event to a line of key=value pairs.
type writer struct {
	out io.Writer
}

// leadingKeys are the keys that are written first, in this order. The others
// follow in alphabetical order.
var leadingKeys = []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName}

// Write implements [io.Writer]; p is the JSON of one event.
func (w *writer) Write(p []byte) (int, error) {
	decoder := json.NewDecoder(bytes.NewReader(p))
	decoder.UseNumber()
	var event map[string]any
	if err := decoder.Decode(&event); err != nil {
		return 0, err
	}
	var line strings.Builder
	for _, k := range orderedKeys(event) {
		if line.Len() > 0 {
			line.WriteByte(' ')
		}
		line.WriteString(k)
		line.WriteByte('=')
		line.WriteString(formatValue(event[k]))
	}
	line.WriteByte('\n')
	if _, err := io.WriteString(w.out, line.String()); err != nil {
		return 0, err
	}
	return len(p), nil
}

func orderedKeys(event map[string]any) []string {
	keys := make([]string, 0, len(event))
	for _, k := range leadingKeys {
		if _, ok := event[k]; ok {
			keys = append(keys, k)
		}
	}
	leadingCount := len(keys)
	for k := range event {
		if !slices.Contains(leadingKeys, k) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys[leadingCount:])
	return keys
}

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
