package ingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovagestand.example/lovagestand/ingress"
)

// serve serves a handler within limits and returns the address.
func serve(c *qt.C, handler http.Handler, options ...ingress.Option) (*ingress.Connections, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	connections := ingress.New(options...)
	server := &http.Server{Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
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

// TestCallersTakeTurns guards against callers that keep others out by sending one request after
// the other: where there are many connections, each serves one request.
func TestCallersTakeTurns(t *testing.T) {
	c := qt.New(t)
	_, address := serve(c, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ingress.WithMaxConnections(2))
	for range 3 {
		dial(c, address)
		conn := dial(c, address)
		send(c, conn, strings.Repeat(query, 100))
		replies, err := io.ReadAll(conn)
		c.Assert(err == nil || errors.Is(err, syscall.ECONNRESET), qt.IsTrue)
		c.Assert(strings.Count(string(replies), "HTTP/1.1 200"), qt.Equals, 1)
	}
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

const partialBody = " / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\n{"

// TestBodyThatStopsEnds guards against callers that hold a handler by a body without an end.
func TestBodyThatStopsEnds(t *testing.T) {
	c := qt.New(t)
	failed := make(chan error, 1)
	_, address := serve(c, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		failed <- err
		w.WriteHeader(http.StatusRequestTimeout)
	}), ingress.WithBodyTimeout(func(*http.Request) time.Duration { return 10 * time.Millisecond }))
	conn := dial(c, address)
	send(c, conn, "POST"+partialBody)
	c.Assert(<-failed, qt.ErrorIs, os.ErrDeadlineExceeded)
	assertReply(c, conn, "408")
	assertEnds(c, conn)
}

// TestBodyThatIsNotReadEnds guards against callers that hold a connection by a body that no
// handler reads: the server reads the rest of it after the reply.
func TestBodyThatIsNotReadEnds(t *testing.T) {
	for _, method := range []string{"POST", "GET", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			c := qt.New(t)
			_, address := serve(c, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			conn := dial(c, address)
			send(c, conn, method+partialBody)
			assertReply(c, conn, "200")
			assertEnds(c, conn)
		})
	}
}

// TestConnectionIsUsedAgain guards against deadlines that outlast their request.
func TestConnectionIsUsedAgain(t *testing.T) {
	c := qt.New(t)
	timeout := func(*http.Request) time.Duration { return 50 * time.Millisecond }
	_, address := serve(c, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		c.Check(err, qt.IsNil)
		time.Sleep(2 * timeout(r))
		c.Check(r.Context().Err(), qt.IsNil)
	}), ingress.WithBodyTimeout(timeout))
	for range 3 {
		reply, err := http.Post("http://"+address, "text/plain", strings.NewReader("text"))
		c.Assert(err, qt.IsNil)
		c.Assert(reply.StatusCode, qt.Equals, http.StatusOK)
		c.Assert(reply.Close, qt.IsFalse)
		c.Assert(reply.Body.Close(), qt.IsNil)
	}
}

// assertEnds asserts that the server closes a connection after its reply.
func assertEnds(c *qt.C, conn net.Conn) {
	c.Helper()
	_, err := io.Copy(io.Discard, conn)
	c.Assert(err, qt.IsNil)
}

// large is the header of a large request, without its body.
var large = fmt.Sprintf("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n", 3*ingress.FreeBytes)

// readBody replies to a request once it is complete, or with the rejection that the reading of
// its body returns.
func readBody(w http.ResponseWriter, r *http.Request) {
	var noRoom *ingress.TooManyBytesError
	if _, err := io.ReadAll(r.Body); errors.As(err, &noRoom) {
		ingress.Reject(w)
	}
}

// TestLargeRequestsAreBounded guards against callers that use up the memory by large
// requests of which each is allowed, and against callers of small requests that are
// rejected because of them.
func TestLargeRequestsAreBounded(t *testing.T) {
	c := qt.New(t)
	_, address := serve(c, http.HandlerFunc(readBody), ingress.WithMaxBytes(5*ingress.FreeBytes))
	whole := large + strings.Repeat(" ", 3*ingress.FreeBytes)
	for {
		send(c, dial(c, address), large+"{")
		if statusOf(c, address, whole) == "503" {
			break
		}
	}
	c.Assert(statusOf(c, address, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n{}"), qt.Equals, "200")
	// Later the stalled ones make room.
	for statusOf(c, address, whole) != "200" {
		time.Sleep(10 * time.Millisecond)
	}
}

// TestSlowRequestsMakeRoom guards against callers that keep large requests out by sending
// theirs byte by byte.
func TestSlowRequestsMakeRoom(t *testing.T) {
	c := qt.New(t)
	_, address := serve(c, http.HandlerFunc(readBody), ingress.WithMaxBytes(5*ingress.FreeBytes))
	var sending sync.WaitGroup
	c.Cleanup(sending.Wait)
	sendSlowly := func() {
		conn := dial(c, address)
		sending.Go(func() {
			_, err := io.WriteString(conn, large)
			for err == nil {
				time.Sleep(20 * time.Millisecond)
				_, err = io.WriteString(conn, " ")
			}
		})
	}
	whole := large + strings.Repeat(" ", 3*ingress.FreeBytes)
	// A slow request that arrives beside a whole one may be rejected itself.
	for sendSlowly(); statusOf(c, address, whole) != "503"; sendSlowly() {
		time.Sleep(time.Millisecond)
	}
	for range 2 {
		for statusOf(c, address, whole) != "200" {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestImpossibleSizesCloseNoOthers guards against callers that have the large requests of
// others closed by the announcement of a size for which there is never room.
func TestImpossibleSizesCloseNoOthers(t *testing.T) {
	c := qt.New(t)
	reading := make(chan bool)
	_, address := serve(c, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 5*ingress.FreeBytes {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		reading <- true
		readBody(w, r)
	}), ingress.WithMaxBytes(5*ingress.FreeBytes))
	slow := dial(c, address)
	send(c, slow, large)
	<-reading
	time.Sleep(600 * time.Millisecond)
	c.Assert(statusOf(c, address, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10000000000\r\n\r\n"), qt.Equals, "413")
	send(c, slow, strings.Repeat(" ", 3*ingress.FreeBytes))
	assertReply(c, slow, "200")
}

// statusOf sends a whole request on a connection of its own and returns the status of the
// reply.
func statusOf(c *qt.C, address, request string) string {
	conn := dial(c, address)
	// The server may reply, and close the connection, before it has read all.
	_, _ = io.WriteString(conn, request)
	reply := make([]byte, len("HTTP/1.1 200"))
	_, err := io.ReadFull(conn, reply)
	c.Assert(err, qt.IsNil)
	return string(reply[len("HTTP/1.1 "):])
}

// TestChunkedRequestsAreBounded does the same with bodies of unknown size, and with headers.
func TestChunkedRequestsAreBounded(t *testing.T) {
	for name, part := range map[string]string{
		"chunked": "POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s", 4*ingress.FreeBytes, strings.Repeat(" ", 3*ingress.FreeBytes)),
		"header":  "POST / HTTP/1.1\r\nHost: a.example\r\nX-Fill: " + strings.Repeat("f", 3*ingress.FreeBytes),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, address := serve(c, http.HandlerFunc(readBody), ingress.WithMaxBytes(3*ingress.FreeBytes))
			conns := []net.Conn{dial(c, address), dial(c, address), dial(c, address)}
			for _, conn := range conns {
				_, _ = io.WriteString(conn, part)
			}
			ended := make(chan bool, len(conns))
			for _, conn := range conns {
				go func() {
					_, _ = io.Copy(io.Discard, conn)
					ended <- true
				}()
			}
			<-ended
			<-ended
		})
	}
}

// TestMultiplexedConnectionStays guards against instances that lose calls in progress on a
// connection of HTTP/2 because another call on it has been answered.
func TestMultiplexedConnectionStays(t *testing.T) {
	c := qt.New(t)
	begun, end := make(chan bool), make(chan bool)
	connections, address := serve(c, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			begun <- true
			<-end
		}
	}), ingress.WithMaxConnections(8))
	client := &http.Client{Transport: &http.Transport{Protocols: new(http.Protocols)}}
	client.Transport.(*http.Transport).Protocols.SetUnencryptedHTTP2(true)
	defer client.CloseIdleConnections()
	call := func(path string) {
		reply, err := client.Post("http://"+address+path, "text/plain", strings.NewReader(strings.Repeat(" ", 2*ingress.FreeBytes)))
		if c.Check(err, qt.IsNil) {
			c.Check(reply.ProtoMajor, qt.Equals, 2)
			c.Check(reply.StatusCode, qt.Equals, http.StatusOK)
			c.Check(reply.Body.Close(), qt.IsNil)
		}
	}
	var calling sync.WaitGroup
	calling.Go(func() { call("/long") })
	<-begun
	call("/short")
	for range 20 {
		conn := dial(c, address)
		send(c, conn, query)
		assertReply(c, conn, "200")
	}
	close(end)
	calling.Wait()
	c.Assert(connections.Open() <= 8, qt.IsTrue)
}
