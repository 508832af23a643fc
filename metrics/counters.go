package metrics

import (
	"expvar"
	"sync/atomic"
)

// counters counts by key. Callers choose some of the keys, so their number is
// bounded; what exceeds it is counted together.
type counters struct {
	byKey expvar.Map
	keys  atomic.Int64
}

// Add adds n to a key.
func (c *counters) Add(key string, n int64) {
	if c.byKey.Get(key) == nil && c.keys.Add(1) > maxKeys {
		key = overflowKey
	}
	c.byKey.Add(key, n)
}

// String implements expvar.Var.
func (c *counters) String() string {
	return c.byKey.String()
}
