package network

import (
	"net"
	"sync"
	"time"
)

// conn is a connection of a host. The side that dialled it bears the link's
// delay, cuts and counts.
type conn struct {
	net.Conn
	host   *Host
	to     *Place
	once   sync.Once
	closed chan struct{}
	// turn says that the next write begins a request, which bears the delay of
	// the round trip.
	turnMutex sync.Mutex
	turn      bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if gate := c.gate(); gate != nil {
		return 0, gate
	}
	c.account(n)
	c.begin(n > 0)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.to != nil && c.begin(false) {
		c.delay(c.host.place.trip(*c.to))
	}
	if gate := c.gate(); gate != nil {
		return 0, gate
	}
	n, err := c.Conn.Write(p)
	c.account(n)
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.host.forget(c)
	})
	return c.Conn.Close()
}

// begin sets whether the next write begins a request and returns whether this
// one does.
func (c *conn) begin(next bool) bool {
	c.turnMutex.Lock()
	defer c.turnMutex.Unlock()
	was := c.turn
	c.turn = next
	return was
}

// gate waits while the host is paused or the link is cut.
func (c *conn) gate() error {
	if err := c.host.await(c.closed); err != nil {
		return err
	}
	if c.to == nil {
		return nil
	}
	return c.host.network.pass(c.host.place.Region, c.to.Region, c.closed)
}

func (c *conn) account(n int) {
	if c.to != nil && n > 0 {
		c.host.network.count(c.host.place, *c.to, n)
	}
}

func (c *conn) delay(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.closed:
	}
}
