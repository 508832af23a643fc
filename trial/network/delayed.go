package network

import (
	"net"
	"sync"
	"time"
)

const (
	// maxChunksInTransit bounds the number of chunks in transit in one direction.
	maxChunksInTransit = 256
	// chunkBytes is the maximum size of a received chunk, in bytes.
	chunkBytes = 4 << 10
)

// delayedConn is a connection that delays data in both directions. It does not
// support deadlines.
type delayedConn struct {
	net.Conn
	oneWayDelay time.Duration
	outgoing    chan chunk
	received    chan chunk
	unread      chunk
	once        sync.Once
	closed      chan struct{}
}

// chunk is data in transit, or the error that ends the stream.
type chunk struct {
	arrivesAt time.Time
	data      []byte
	err       error
}

// withDelay returns inner with a delay of half the round trip in each direction.
func withDelay(inner net.Conn, roundTrip time.Duration) net.Conn {
	if roundTrip <= 0 {
		return inner
	}
	d := &delayedConn{
		Conn:        inner,
		oneWayDelay: roundTrip / 2,
		outgoing:    make(chan chunk, maxChunksInTransit),
		received:    make(chan chunk, maxChunksInTransit),
		closed:      make(chan struct{}),
	}
	go d.send()
	go d.receive()
	return d
}

// Write implements net.Conn. It returns before the data has arrived.
func (d *delayedConn) Write(p []byte) (int, error) {
	c := chunk{arrivesAt: time.Now().Add(d.oneWayDelay), data: append([]byte(nil), p...)}
	select {
	case <-d.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case d.outgoing <- c:
		return len(p), nil
	case <-d.closed:
		return 0, net.ErrClosed
	}
}

// Read implements net.Conn.
func (d *delayedConn) Read(p []byte) (int, error) {
	if len(d.unread.data) == 0 && d.unread.err == nil {
		select {
		case d.unread = <-d.received:
		case <-d.closed:
			return 0, net.ErrClosed
		}
		if !d.waitUntil(d.unread.arrivesAt) {
			return 0, net.ErrClosed
		}
	}
	if len(d.unread.data) == 0 {
		return 0, d.unread.err
	}
	n := copy(p, d.unread.data)
	d.unread.data = d.unread.data[n:]
	return n, nil
}

// Close implements net.Conn. Data in transit is lost.
func (d *delayedConn) Close() error {
	d.once.Do(func() { close(d.closed) })
	return d.Conn.Close()
}

// send writes outgoing chunks to the inner connection when they are due.
func (d *delayedConn) send() {
	for {
		select {
		case c := <-d.outgoing:
			if !d.waitUntil(c.arrivesAt) {
				return
			}
			if _, err := d.Conn.Write(c.data); err != nil {
				_ = d.Close()
				return
			}
		case <-d.closed:
			return
		}
	}
}

// receive reads chunks from the inner connection until an error ends the stream.
func (d *delayedConn) receive() {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := d.Conn.Read(buffer)
		c := chunk{arrivesAt: time.Now().Add(d.oneWayDelay), data: append([]byte(nil), buffer[:n]...), err: err}
		select {
		case d.received <- c:
		case <-d.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// waitUntil waits until the given time; false if the connection is closed before.
func (d *delayedConn) waitUntil(at time.Time) bool {
	remaining := time.Until(at)
	if remaining <= 0 {
		return true
	}
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.closed:
		return false
	}
}
