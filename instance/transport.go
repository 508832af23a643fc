package instance

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds how long a connection to a peer may take to open.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused connection to a peer stays open.
	idleTimeout = 90 * time.Second
	// pingAfter is how long a connection may receive nothing before it is pinged.
	// pingTimeout is how long after the ping the connection is closed if no reply
	// arrives.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
)

// NewTransport returns a transport for calls to other instances. Many calls share
// one connection. If dial is nil, the transport uses plain TCP.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:     dial,
		IdleConnTimeout: idleTimeout,
		Protocols:       p,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
}
