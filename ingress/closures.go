package ingress

import (
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
)

// logInterval is the shortest time between two log lines about closed connections.
const logInterval = time.Second

// closures counts the connections that were closed and the requests that were rejected, and
// logs them together.
type closures struct {
	log      zerolog.Logger
	recorder lovagestand.Recorder
	// byReason counts those since the last log line.
	byReason map[string]int
	loggedAt time.Time
}

// record counts a connection that is closed, or a request that is rejected, for a reason.
func (c *closures) record(now time.Time, reason string) {
	c.recorder.Count("closedConnections", reason)
	c.byReason[reason]++
	if now.Sub(c.loggedAt) < logInterval {
		return
	}
	event := c.log.Warn()
	for r, n := range c.byReason {
		event = event.Int(r, n)
	}
	event.Msg("connections closed or requests rejected because a limit of the server is reached")
	clear(c.byReason)
	c.loggedAt = now
}
