package metrics

import (
	"expvar"
	"sync/atomic"
)

// counters counts events by key. Callers choose some of the keys, so the number of
// keys is limited to maxKeys. Further keys are counted together under overflowKey.
type counters struct {
	byKey expvar.Map
	keys  atomic.Int64
}

// Add adds n to the counter of a key.
func (c *counters) Add(key string, n int64) {
	if c.byKey.Get(key) == nil && c.keys.Add(1) > maxKeys {
		key = overflowKey
	}
	c.byKey.Add(key, n)
}

// String implements [expvar.Var].
func (c *counters) String() string {
	return c.byKey.String()
}
