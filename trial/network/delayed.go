package network

import (
	"net"
	"sync"
	"time"
)

const (
	// laneChunks bounds what is on its way in one direction.
	laneChunks = 256
	// chunkBytes is the most that one read takes, in bytes.
	chunkBytes = 4 << 10
)

// delayed is a connection on which everything takes a while to arrive, in each
// direction. It has no deadlines.
type delayed struct {
	net.Conn
	each   time.Duration
	out    chan chunk
	in     chan chunk
	rest   chunk
	once   sync.Once
	closed chan struct{}
}

// chunk is what is on its way until due.
type chunk struct {
	due  time.Time
	data []byte
	err  error
}

// delay returns inner with half a round trip in each direction.
func delay(inner net.Conn, trip time.Duration) net.Conn {
	if trip <= 0 {
		return inner
	}
	d := &delayed{
		Conn:   inner,
		each:   trip / 2,
		out:    make(chan chunk, laneChunks),
		in:     make(chan chunk, laneChunks),
		closed: make(chan struct{}),
	}
	go d.send()
	go d.receive()
	return d
}

// Write implements net.Conn; it returns before the data has arrived.
func (d *delayed) Write(p []byte) (int, error) {
	c := chunk{due: time.Now().Add(d.each), data: append([]byte(nil), p...)}
	select {
	case <-d.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case d.out <- c:
		return len(p), nil
	case <-d.closed:
		return 0, net.ErrClosed
	}
}

// Read implements net.Conn.
func (d *delayed) Read(p []byte) (int, error) {
	if len(d.rest.data) == 0 && d.rest.err == nil {
		select {
		case d.rest = <-d.in:
		case <-d.closed:
			return 0, net.ErrClosed
		}
		if !d.await(d.rest.due) {
			return 0, net.ErrClosed
		}
	}
	if len(d.rest.data) == 0 {
		return 0, d.rest.err
	}
	n := copy(p, d.rest.data)
	d.rest.data = d.rest.data[n:]
	return n, nil
}

// Close implements net.Conn; what is on its way is lost.
func (d *delayed) Close() error {
	d.once.Do(func() { close(d.closed) })
	return d.Conn.Close()
}

func (d *delayed) send() {
	for {
		select {
		case c := <-d.out:
			if !d.await(c.due) {
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

func (d *delayed) receive() {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := d.Conn.Read(buffer)
		c := chunk{due: time.Now().Add(d.each), data: append([]byte(nil), buffer[:n]...), err: err}
		select {
		case d.in <- c:
		case <-d.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// await waits until due; false if the connection was closed before.
func (d *delayed) await(due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return true
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.closed:
		return false
	}
}
