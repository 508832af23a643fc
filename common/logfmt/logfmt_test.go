package logfmt_test

import (
	"os"

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
