package peer

import "expvar"

// Counters count the calls that a [Peer] has made since it started, and the bytes
// that it has exchanged with peers.
type Counters struct {
	StoreReads, StoreWrites, StoreWatches expvar.Int
	Exchanges, Surveys, Failures          expvar.Int
	// BytesSent counts the bytes of the bodies of requests to peers,
	// BytesReceived those of the replies.
	BytesSent, BytesReceived expvar.Int
}

// Var returns the counters as one variable for package expvar.
func (c *Counters) Var() expvar.Var {
	m := new(expvar.Map).Init()
	m.Set("storeReads", &c.StoreReads)
	m.Set("storeWrites", &c.StoreWrites)
	m.Set("storeWatches", &c.StoreWatches)
	m.Set("exchanges", &c.Exchanges)
	m.Set("surveys", &c.Surveys)
	m.Set("failures", &c.Failures)
	m.Set("bytesSent", &c.BytesSent)
	m.Set("bytesReceived", &c.BytesReceived)
	return m
}
