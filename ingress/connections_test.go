package ingress_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/ingress"
)

// serve serves a handler within limits and returns the address.
func serve(c *qt.C, handler http.Handler, options ...ingress.Option) (*ingress.Connections, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	connections := ingress.New(options...)
	server := &http.Server{}
	done := make(chan error, 1)
	go func() { done <- connections.Serve(server, listener, handler) }()
	c.Cleanup(func() {
		c.Check(server.Close(), qt.IsNil)
		c.Check(<-done, qt.ErrorIs, http.ErrServerClosed)
	})
	return connections, listener.Addr().String()
}

func dial(c *qt.C, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn
}

func send(c *qt.C, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
}

// assertClosed asserts that the server closes a connection without a reply.
func assertClosed(c *qt.C, conn net.Conn) {
	c.Helper()
	n, _ := conn.Read(make([]byte, 1))
	c.Assert(n, qt.Equals, 0)
}

// assertReply asserts that the server replies with a status.
func assertReply(c *qt.C, conn net.Conn, status string) {
	c.Helper()
	reply := make([]byte, len("HTTP/1.1 200"))
	_, err := io.ReadFull(conn, reply)
	c.Assert(err, qt.IsNil)
	c.Assert(string(reply), qt.Equals, "HTTP/1.1 "+status)
}

const query = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// TestSilentConnectionsMakeRoom guards against callers that keep others out by connections
// without use.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	c := qt.New(t)
	connections, address := serve(c, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ingress.WithMaxConnections(3))
	silent := []net.Conn{dial(c, address), dial(c, address), dial(c, address), dial(c, address)}
	assertClosed(c, silent[0])
	for range 5 {
		conn := dial(c, address)
		send(c, conn, query)
		assertReply(c, conn, "200")
	}
	c.Assert(connections.Open() <= 3, qt.IsTrue)
}

// TestServedConnectionsStay guards against callers that lose the reply to a request that is
// being served: the new connection is closed instead.
func TestServedConnectionsStay(t *testing.T) {
	c := qt.New(t)
	begun, end := make(chan bool), make(chan bool)
	_, address := serve(c, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- true
		<-end
	}), ingress.WithMaxConnections(2))
	served := []net.Conn{dial(c, address), dial(c, address)}
	for _, conn := range served {
		send(c, conn, query)
		<-begun
	}
	assertClosed(c, dial(c, address))
	close(end)
	for _, conn := range served {
		assertReply(c, conn, "200")
	}
}
