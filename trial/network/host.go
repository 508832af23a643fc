package network

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Host is the network endpoint of one simulated process, with all its incoming and
// outgoing connections. It can be paused and killed.
type Host struct {
	network *Network
	place   Place

	mutex     sync.Mutex
	killed    bool
	paused    chan struct{} // closed at the end of a pause; nil without one
	conns     map[*conn]struct{}
	listeners []net.Listener
}

// Host returns a host at a place.
func (n *Network) Host(p Place) *Host {
	return &Host{network: n, place: p, conns: map[*conn]struct{}{}}
}

// Listen opens a listener on a free loopback port and registers its address.
func (h *Host) Listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	h.network.Register(l.Addr().String(), h.place)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.listeners = append(h.listeners, l)
	return &listener{Listener: l, host: h}, nil
}

// Dial connects h to an address. It can serve as the DialContext of an http.Transport.
func (h *Host) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := h.awaitResume(ctx.Done()); err != nil {
		return nil, err
	}
	inner, to, err := h.network.dial(ctx, h.place, network, address)
	if err != nil {
		return nil, err
	}
	return h.addConn(inner, &to)
}

// Pause blocks everything that h sends or receives until Resume.
func (h *Host) Pause() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.paused == nil {
		h.paused = make(chan struct{})
	}
}

// Resume ends a pause.
func (h *Host) Resume() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.paused != nil {
		close(h.paused)
		h.paused = nil
	}
}

// Kill closes all connections and listeners of h and prevents new connections.
func (h *Host) Kill() {
	h.mutex.Lock()
	h.killed = true
	var conns []*conn
	for c := range h.conns {
		conns = append(conns, c)
	}
	listeners := h.listeners
	h.mutex.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

// awaitResume waits while h is paused, or until done is closed.
func (h *Host) awaitResume(done <-chan struct{}) error {
	h.mutex.Lock()
	killed, paused := h.killed, h.paused
	h.mutex.Unlock()
	if killed {
		return net.ErrClosed
	}
	if paused == nil {
		return nil
	}
	select {
	case <-paused:
		return nil
	case <-done:
		return net.ErrClosed
	}
}

// addConn adds a connection to those of h; remote is its other end if h dialled it
// and nil otherwise.
func (h *Host) addConn(inner net.Conn, remote *Place) (net.Conn, error) {
	c := &conn{Conn: inner, host: h, remote: remote, closed: make(chan struct{})}
	if remote != nil {
		c.Conn = withDelay(inner, h.place.roundTrip(*remote))
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.killed {
		_ = c.Conn.Close()
		return nil, net.ErrClosed
	}
	h.conns[c] = struct{}{}
	return c, nil
}

func (h *Host) removeConn(c *conn) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.conns, c)
}

// listener adds the connections that it accepts to those of a host.
type listener struct {
	net.Listener
	host *Host
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.host.addConn(inner, nil)
}
