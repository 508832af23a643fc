package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// largeBodyBytes is the largest body that the configuration of a cell allows.
const largeBodyBytes = 256 << 10

// Crowd has a number of callers call each node until the returned function is called. They
// submit no job: they open connections without use, or stop within a request, and begin anew
// once the connection is closed.
func (c *Cell) Crowd(size int, seed uint64) (disperse func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i, n := range c.Nodes {
		for j := range size {
			r := rand.New(rand.NewPCG(seed, uint64(i*size+j)))
			callers.Go(func() {
				for ctx.Err() == nil {
					misbehave(ctx, n.Callers, r)
				}
			})
		}
	}
	return func() { cancel(); callers.Wait() }
}

// misbehave opens a connection, sends a part of a request and waits until the connection is
// closed, or for some seconds.
func misbehave(ctx context.Context, address string, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, randomBetween(r, 500*time.Millisecond, 4*time.Second))
	defer cancel()
	pause := time.After(randomBetween(r, 50*time.Millisecond, 300*time.Millisecond))
	if conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address); err == nil {
		ended := context.AfterFunc(ctx, func() { conn.Close() })
		// The node may close the connection at any time.
		_, _ = io.WriteString(conn, partialRequest(r))
		_, _ = io.Copy(io.Discard, conn)
		ended()
		conn.Close()
	}
	<-pause
}

// partialRequest returns a part of a request, which may be empty.
func partialRequest(r *rand.Rand) string {
	begin := fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\n", callerPrefix, r.Uint64()|1<<63, callerHost)
	body := strings.Repeat(" ", r.IntN(largeBodyBytes))
	switch r.IntN(4) {
	case 0:
		return ""
	case 1:
		return begin + "X-Fill: " + body[:len(body)/8]
	case 2:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", begin, largeBodyBytes, body)
	}
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", begin, largeBodyBytes, body)
}
