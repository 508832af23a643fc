package trial_test

import (
	"context"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand/commands/trial"
)

func execute(args ...string) error {
	c := trial.New(zerolog.Nop())
	c.SetArgs(args)
	c.SetOut(io.Discard)
	c.SetErr(io.Discard)
	c.SilenceUsage = true
	return c.ExecuteContext(context.Background())
}

func TestWrongInputStartsNothing(t *testing.T) {
	for _, k := range []struct {
		name string
		args []string
		want string
	}{
		{"duration", []string{"--duration", "0s"}, `--duration: .*`},
		{"rate", []string{"--rate", "-1"}, `--rate: .*`},
		{"fault", []string{"--faults", "flood"}, `--faults: no fault "flood".*`},
		{"report", []string{"--report", "a.txt"}, `--report: .*`},
		{"tables", []string{"--tables", "nowhere"}, `--tables: .*`},
	} {
		qt.New(t).Run(k.name, func(c *qt.C) {
			err := execute(k.args...)
			c.Assert(err, qt.ErrorMatches, k.want)
			var wrong *trial.InputError
			c.Assert(err, qt.ErrorAs, &wrong)
			c.Assert(wrong.ExitCode(), qt.Equals, 2)
		})
	}
}

func TestViolationsExitCode(t *testing.T) {
	c := qt.New(t)
	c.Assert((&trial.ViolationsError{Count: 2}).ExitCode(), qt.Equals, 1)
}
