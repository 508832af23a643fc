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
)

// unservedPatience is how long a connection may be silent before its first request without
// being closed in favour of all others. A request normally follows within a round trip.
const unservedPatience = time.Second

// Connections are the connections of one server. It is safe for concurrent use.
type Connections struct {
	max         int
	bodyTimeout func(*http.Request) time.Duration
	closed      closures

	mu   sync.Mutex
	open int
	// The open connections on which the server waits for the client, by what the client
	// has sent, the longest silent first: those without a request so far, those that have
	// been answered, and those with a request that is not complete.
	unserved, idle, partial list.List
}

// Option configures [Connections].
type Option func(*Connections)

// WithMaxConnections limits the number of open connections.
func WithMaxConnections(n int) Option { return func(c *Connections) { c.max = n } }

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

// add records a connection. If there are too many, it closes another one, or returns nil if
// all others are being served.
func (c *Connections) add(accepted net.Conn) *connection {
	now := time.Now()
	k := &connection{Conn: accepted, connections: c, lastReceived: now}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.max > 0 && c.open >= c.max {
		victim := c.longestSilent(now)
		if victim == nil {
			c.closed.record(now, reasonBusy)
			return nil
		}
		c.evict(now, victim, reasonCount)
	}
	c.open++
	c.await(k, &c.unserved)
	return k
}

// longestSilent returns the connection to close in favour of a new one, or nil. The caller
// holds mu.
func (c *Connections) longestSilent(now time.Time) *connection {
	if k := front(&c.unserved); k != nil && now.Sub(k.lastReceived) >= unservedPatience {
		return k
	}
	var oldest *connection
	for _, l := range []*list.List{&c.unserved, &c.partial, &c.idle} {
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
}

type connectionKey struct{}

// Read implements [net.Conn].
func (k *connection) Read(p []byte) (int, error) {
	n, err := k.Conn.Read(p)
	if n > 0 {
		k.connections.received(k)
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

// received records that the client of a connection has sent something.
func (c *Connections) received(k *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.lastReceived = time.Now()
	if k.list != nil {
		c.await(k, &c.partial)
	}
}

// serving records that a request is complete, so that the client waits for the server.
func (c *Connections) serving(k *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !k.closed {
		c.await(k, nil)
	}
}

// answered records that the reply to a request has been written.
func (c *Connections) answered(k *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !k.closed {
		k.lastReceived = time.Now()
		c.await(k, &c.idle)
	}
}
