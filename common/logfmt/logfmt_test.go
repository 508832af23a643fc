package logfmt_test

import (
	"bytes"
	"errors"
	"io"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand/common/logfmt"
)

func ExampleNew() {
	log := logfmt.New(os.Stdout).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Str("time", "2026-01-02T03:04:05Z")
	}))
	log.Info().Str("shard", "malabar/rack-1").Int("workers", 8).Str("note", "two words").Msg("shard ready")
	// Output: time=2026-01-02T03:04:05Z level=info message="shard ready" note="two words" shard=malabar/rack-1 workers=8
}

// TestValues guards the text of values that are not copied from the JSON as they are.
func TestValues(t *testing.T) {
	c := qt.New(t)
	for want, event := range map[string]func(*zerolog.Event) *zerolog.Event{
		`a="" b=1.5 c=true d=<nil>`: func(e *zerolog.Event) *zerolog.Event {
			return e.Interface("d", nil).Bool("c", true).Dur("b", 1500*time.Microsecond).Str("a", "")
		},
		`a="x\ny" b="say \"{,:}\"" c=é d="é è" e=\ f="\x7f ="`: func(e *zerolog.Event) *zerolog.Event {
			return e.Str("a", "x\ny").Str("b", `say "{,:}"`).Str("c", "é").Str("d", "é è").Str("e", `\`).Str("f", "\x7f =")
		},
		`a="[1 x]" b="map[k:[] l:{]" c=-3`: func(e *zerolog.Event) *zerolog.Event {
			return e.Int("c", -3).Interface("b", map[string]any{"k": []int{}, "l": "{"}).Interface("a", []any{1, "x"})
		},
		`a=2 error="not found" é="1 2"`: func(e *zerolog.Event) *zerolog.Event {
			return e.Str("é", "1 2").Int("a", 1).Err(errors.New("not found")).Int("a", 2)
		},
	} {
		var out bytes.Buffer
		log := newLogger(&out)
		event(log.Log()).Send()
		c.Check(out.String(), qt.Equals, "time=T "+want+"\n")
	}
}

// newLogger returns a logger whose lines have a fixed time.
func newLogger(out io.Writer) zerolog.Logger {
	return logfmt.New(out).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) { e.Str("time", "T") }))
}

// TestMalformedEvent guards against lines that contain only a part of an event.
func TestMalformedEvent(t *testing.T) {
	former := zerolog.ErrorHandler
	t.Cleanup(func() { zerolog.ErrorHandler = former })
	for _, value := range []string{``, `nul`, `"x`, `[1`, `1 2`, `{]`, `1]`, `"x"y`, `1 "b":2`} {
		var out bytes.Buffer
		failures := 0
		zerolog.ErrorHandler = func(error) { failures++ }
		log := newLogger(&out)
		log.Log().RawJSON("a", []byte(value)).Send()
		qt.Check(t, out.String(), qt.Equals, "")
		qt.Check(t, failures, qt.Equals, 1, qt.Commentf("%s", value))
	}
}

func BenchmarkLine(b *testing.B) {
	log := logfmt.New(io.Discard).With().Str("shard", "0").Uint64("epoch", 354).Logger()
	b.ReportAllocs()
	for b.Loop() {
		log.Info().Str("task", "7ad17d3a086988d5.0.0.0").Int64("run", 1).Str("worker", "i-0163").Dur("age", 1234567).Int64("freeMilliCPU", 3500).Int64("born", 1796400000000).Msg("task placed")
	}
}
