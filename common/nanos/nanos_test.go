package nanos_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/common/nanos"
)

func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	for _, k := range []time.Time{{}, time.Unix(1, 7)} {
		c.Assert(nanos.ToTime(nanos.FromTime(k)).Equal(k), qt.IsTrue)
	}
	c.Assert(nanos.FromTime(time.Time{}), qt.Equals, int64(0))
	c.Assert(nanos.ToTime(0).IsZero(), qt.IsTrue)
}
