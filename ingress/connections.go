package ingress

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
)

// Reasons for which connections are closed, as they appear in logs and metrics.
const (
	reasonCount = "connections"
	reasonBusy  = "allServing"
	reasonBytes = "bytes"
	// reasonRejected is that of a request that is rejected because of its size.
	reasonRejected = "rejected"
)

const (
	// FreeBytes is the part of each request that takes no room from others. Ordinary requests
	// are smaller.
	FreeBytes = 8 << 10
	// stallPatience is how long a large request may make no progress without being closed in
	// favour of another one.
	stallPatience = 500 * time.Millisecond
	// minBodyRate is the rate in bytes per second below which a large request counts as
	// without progress too, once it has taken slowPatience.
	minBodyRate  = 32 << 10
	slowPatience = 2 * time.Second
	// roomTimeout is how long a new connection waits while all others are being served, of
	// which the next usually ends sooner.
	roomTimeout      = 100 * time.Millisecond
	roomPollInterval = 5 * time.Millisecond
	// unservedPatience is how long a connection may be silent before its first request without
	// being closed in favour of all others. A request normally follows within a round trip.
	unservedPatience = time.Second
)

// Connections are the connections of one server. It is safe for concurrent use.
type Connections struct {
	max         int
	maxBytes    int64
	bodyTimeout func(*http.Request) time.Duration
	closed      closures

	mu   sync.Mutex
	open int
	// bytes is the room that the requests on all connections take.
	bytes int64
	// The open connections on which the server waits for the client, by what the client
	// has sent, the longest silent first: those without a request so far, those that have
	// been answered, those with a request that is not complete, and those with such a
	// request that takes room from others.
	unserved, idle, partial, large list.List
}

// Option configures [Connections].
type Option func(*Connections)

// WithMaxConnections limits the number of open connections.
func WithMaxConnections(n int) Option { return func(c *Connections) { c.max = n } }

// WithMaxBytes limits the bytes of all requests that are being received or served, without
// the first [FreeBytes] of each. A request without room is rejected, unless others have made
// no progress for a while: these are closed.
func WithMaxBytes(n int64) Option { return func(c *Connections) { c.maxBytes = n } }

// WithBodyTimeout sets how long the body of a request may take, from the end of its header.
func WithBodyTimeout(f func(*http.Request) time.Duration) Option {
	return func(c *Connections) { c.bodyTimeout = f }
}

// WithRecorder counts the closed connections.
func WithRecorder(r lovagestand.Recorder) Option {
	return func(c *Connections) { c.closed.recorder = r }
}

// WithLogger logs the closed connections of the server with a name, at most once in
// logInterval.
func WithLogger(log zerolog.Logger, server string) Option {
	return func(c *Connections) { c.closed.log = log.With().Str("server", server).Logger() }
}

// New returns the connections of a server, without bounds other than those of the options.
func New(options ...Option) *Connections {
	c := &Connections{closed: closures{log: zerolog.Nop(), recorder: lovagestand.NoRecorder{}, byReason: map[string]int{}}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Serve serves handler on a listener. The server must not serve on another one.
func (c *Connections) Serve(server *http.Server, listener net.Listener, handler http.Handler) error {
	server.Handler = c.handler(handler)
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, accepted)
	}
	return server.Serve(&limitedListener{Listener: listener, connections: c})
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// Open returns the number of open connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// limitedListener accepts connections and closes others where there are too many.
type limitedListener struct {
	net.Listener
	connections *Connections
}

// Accept implements [net.Listener].
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if k := l.connections.add(accepted); k != nil {
			return k, nil
		}
		_ = accepted.Close()
	}
}

// add records a connection. If there are too many, it closes another one. While all others are
// being served, it waits, and returns nil if none of them ends in time.
func (c *Connections) add(accepted net.Conn) *connection {
	for deadline := time.Now().Add(roomTimeout); ; time.Sleep(roomPollInterval) {
		if k, ok := c.tryAdd(accepted, !time.Now().Before(deadline)); ok {
			return k
		}
	}
}

// tryAdd records a connection unless there are too many that are all being served. If it is the
// last attempt, the connection is then counted as closed.
func (c *Connections) tryAdd(accepted net.Conn, last bool) (*connection, bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.max > 0 && c.open >= c.max {
		victim := c.longestSilent(now)
		if victim == nil {
			if last {
				c.closed.record(now, reasonBusy)
			}
			return nil, last
		}
		c.evict(now, victim, reasonCount)
	}
	c.open++
	k := &connection{Conn: accepted, connections: c, lastReceived: now, inHeader: true}
	k.next = &exchange{connection: k}
	c.await(k, &c.unserved)
	return k, true
}

// longestSilent returns the connection to close in favour of a new one, or nil. The caller
// holds mu.
func (c *Connections) longestSilent(now time.Time) *connection {
	if k := front(&c.unserved); k != nil && now.Sub(k.lastReceived) >= unservedPatience {
		return k
	}
	var oldest *connection
	for _, l := range []*list.List{&c.unserved, &c.partial, &c.large, &c.idle} {
		if k := front(l); k != nil && (oldest == nil || k.lastReceived.Before(oldest.lastReceived)) {
			oldest = k
		}
	}
	return oldest
}

// front returns the first connection of a list, or nil.
func front(l *list.List) *connection {
	if e := l.Front(); e != nil {
		return e.Value.(*connection)
	}
	return nil
}

// evict closes a connection on which the server waits. The caller holds mu.
func (c *Connections) evict(now time.Time, k *connection, reason string) {
	c.forget(k)
	c.closed.record(now, reason)
	// The server ends its read and closes the connection once more, without effect.
	_ = k.Conn.Close()
}

// await adds a connection to a list of those on which the server waits, and removes it from
// the list that it is on. A nil list is that of none. The caller holds mu.
func (c *Connections) await(k *connection, l *list.List) {
	if k.list != nil {
		k.list.Remove(k.element)
	}
	k.list, k.element = l, nil
	if l != nil {
		k.element = l.PushBack(k)
	}
}

// forget removes a connection that is closed. The caller holds mu.
func (c *Connections) forget(k *connection) {
	if k.closed {
		return
	}
	k.closed = true
	c.open--
	c.bytes -= k.room
	c.await(k, nil)
}

// connection is an accepted connection.
type connection struct {
	net.Conn
	connections *Connections

	// The following fields are guarded by the mutex of connections.

	// list holds the connection while the server waits for the client; nil otherwise.
	list    *list.List
	element *list.Element
	// lastReceived is when the client last sent something, or opened the connection.
	lastReceived time.Time
	closed       bool
	// inHeader is whether the client may be sending the header of the next request.
	inHeader bool
	next     *exchange
	// begunAt is when the header of the present request was complete, and received what has
	// arrived since.
	begunAt  time.Time
	received int64
	// streams is the number of requests in progress on a connection of HTTP/2, on which
	// several may be; multiplexed is whether it is such a connection.
	streams     int
	multiplexed bool
	// room is the room that the requests take from others.
	room int64
}

// exchange is a request that is being received or served, and its reply. It is guarded by the
// mutex of its connections.
type exchange struct {
	connection *connection
	// headerBytes is the part of the header that has been received. complete is whether the
	// whole request has been.
	headerBytes int64
	complete    bool
	// room is the room that the request takes from others.
	room int64
}

// Read implements [net.Conn].
func (k *connection) Read(p []byte) (int, error) {
	n, err := k.Conn.Read(p)
	if n > 0 {
		k.connections.received(k, int64(n))
	}
	return n, err
}

// Close implements [net.Conn].
func (k *connection) Close() error {
	c := k.connections
	c.mu.Lock()
	c.forget(k)
	c.mu.Unlock()
	return k.Conn.Close()
}

// received records that the client of a connection has sent something. A header without
// room closes the connection.
func (c *Connections) received(k *connection, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.closed {
		return
	}
	now := time.Now()
	k.lastReceived = now
	k.received += n
	if k.inHeader {
		if k.next.headerBytes += n; !c.reserve(now, k.next, k.next.headerBytes) {
			c.evict(now, k, reasonBytes)
			return
		}
	}
	c.awaitClient(k)
}

// awaitClient moves a connection behind all others on which the server waits for a request
// to be complete. The caller holds mu.
func (c *Connections) awaitClient(k *connection) {
	switch {
	case k.list == nil:
	case k.room > 0:
		c.await(k, &c.large)
	default:
		c.await(k, &c.partial)
	}
}

// reserve makes room for a request, of which a number of bytes are expected or have been
// received, and reports whether there is room. It closes connections with large requests that
// make no progress. The caller holds mu.
func (c *Connections) reserve(now time.Time, x *exchange, bytes int64) bool {
	more := max(0, bytes-FreeBytes) - x.room
	if c.maxBytes <= 0 || more <= 0 {
		return true
	}
	if x.room+more > c.maxBytes {
		return false
	}
	for c.bytes+more > c.maxBytes {
		stalled := c.stalled(now, x.connection)
		if stalled == nil {
			return false
		}
		c.evict(now, stalled, reasonBytes)
	}
	c.bytes += more
	x.room += more
	x.connection.room += more
	return true
}

// stalled returns a connection other than the given one whose large request makes no progress,
// or nil. The caller holds mu.
func (c *Connections) stalled(now time.Time, except *connection) *connection {
	for e := c.large.Front(); e != nil; e = e.Next() {
		if k := e.Value.(*connection); k != except && k.stalled(now) {
			return k
		}
	}
	return nil
}

// stalled reports whether the client of a connection has been silent for too long, or slow.
func (k *connection) stalled(now time.Time) bool {
	if now.Sub(k.lastReceived) >= stallPatience {
		return true
	}
	elapsed := now.Sub(k.begunAt)
	return !k.inHeader && elapsed >= slowPatience && float64(k.received) < minBodyRate*elapsed.Seconds()
}

// begin returns the request whose header is complete. It also reports whether there are so
// many connections that each should be closed after the reply to its request, so that those of
// other callers have their turn.
func (c *Connections) begin(k *connection, http2 bool) (x *exchange, crowded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	crowded = c.max > 0 && c.open >= c.max-c.max/8
	k.inHeader, k.begunAt, k.received = false, time.Now(), 0
	if !http2 {
		return k.next, crowded
	}
	// The bytes of the frames on the connection belong to several requests.
	k.multiplexed = true
	k.streams++
	if !k.closed {
		c.await(k, nil)
	}
	return &exchange{connection: k}, crowded
}

// expectAnnounced makes room for a body of an announced size, and reports whether there is
// room. A body that is larger than all of the room takes it as it arrives: handlers usually
// reject such a size.
func (c *Connections) expectAnnounced(x *exchange, size int64) bool {
	if size > c.maxBytes {
		size = 0
	}
	return c.expect(x, max(0, size))
}

// expect makes room for a request whose header is complete, given the number of bytes of its
// body that have been announced or received, and reports whether there is room.
func (c *Connections) expect(x *exchange, body int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.connection.closed {
		return false
	}
	now := time.Now()
	if !c.reserve(now, x, x.headerBytes+body) {
		c.closed.record(now, reasonRejected)
		return false
	}
	c.awaitClient(x.connection)
	return true
}

// serving records that a request is complete, so that the client waits for the server.
func (c *Connections) serving(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.complete = true
	if !x.connection.closed {
		c.await(x.connection, nil)
	}
}

// answered records that the reply to a request has been written.
func (c *Connections) answered(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := x.connection
	if k.multiplexed {
		k.streams--
	}
	if k.closed {
		return
	}
	c.bytes -= x.room
	k.room -= x.room
	x.room = 0
	if k.streams > 0 {
		return
	}
	k.lastReceived = time.Now()
	// What follows an incomplete request is the rest of its body.
	k.inHeader, k.next = x.complete && !k.multiplexed, &exchange{connection: k}
	c.await(k, &c.idle)
}
