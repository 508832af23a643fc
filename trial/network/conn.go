package network

import (
	"net"
	"sync"
)

// conn is a connection of a host. The side that dialled it bears the link's
// cuts and counts.
type conn struct {
	net.Conn
	host   *Host
	to     *Place
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if held := c.gate(); held != nil {
		return 0, held
	}
	c.account(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if held := c.gate(); held != nil {
		return 0, held
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
