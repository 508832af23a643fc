package fleet

import (
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
)

// Server is a fleet in which each worker listens on a port of its own.
type Server struct {
	*Fleet
	servers []*http.Server
}

// Listen returns a fleet whose workers listen on free ports of a host, such as
// "127.0.0.1". The addresses replace those in the specs.
func Listen(host string, specs []lovagestand.Worker, observer Observer) (*Server, error) {
	s := &Server{}
	var listeners []net.Listener
	withAddresses := make([]lovagestand.Worker, 0, len(specs))
	for _, w := range specs {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			closeAll(listeners)
			return nil, errors.Wrapf(err, "worker %q", w.Name)
		}
		listeners = append(listeners, &limitedListener{Listener: l})
		w.Address = l.Addr().String()
		withAddresses = append(withAddresses, w)
	}
	s.Fleet = New(withAddresses, observer)
	for i, w := range s.Workers() {
		server := &http.Server{Handler: Handler(w)}
		s.servers = append(s.servers, server)
		go func() { _ = server.Serve(listeners[i]) }()
	}
	return s, nil
}

// Close stops listening and closes all connections.
func (s *Server) Close() {
	for _, h := range s.servers {
		_ = h.Close()
	}
}

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}

// limitedListener closes new connections at once while [MaxConnections] are open.
type limitedListener struct {
	net.Listener
	mutex sync.Mutex
	open  int
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &countedConn{Conn: c, release: sync.OnceFunc(l.release)}, nil
		}
		_ = c.Close()
	}
}

func (l *limitedListener) acquire() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open >= MaxConnections {
		return false
	}
	l.open++
	return true
}

func (l *limitedListener) release() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
}

// countedConn is a connection that counts against the limit until it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
