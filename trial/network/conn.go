package network

import (
	"net"
	"sync"
)

// conn is a connection of a host. Partitions and byte counts apply only on the side
// that dialled it, where remote is set.
type conn struct {
	net.Conn
	host   *Host
	remote *Place
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if closedErr := c.awaitOpen(); closedErr != nil {
		return 0, closedErr
	}
	c.countBytes(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if closedErr := c.awaitOpen(); closedErr != nil {
		return 0, closedErr
	}
	n, err := c.Conn.Write(p)
	c.countBytes(n)
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.host.removeConn(c)
	})
	return c.Conn.Close()
}

// awaitOpen waits while the host is paused or partitioned from the remote place.
func (c *conn) awaitOpen() error {
	if err := c.host.awaitResume(c.closed); err != nil {
		return err
	}
	if c.remote == nil {
		return nil
	}
	return c.host.network.awaitReachable(c.host.place.Region, c.remote.Region, c.closed)
}

func (c *conn) countBytes(n int) {
	if c.remote != nil && n > 0 {
		c.host.network.count(c.host.place, *c.remote, n)
	}
}
