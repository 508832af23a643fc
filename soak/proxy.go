package soak

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Mode is how a proxy treats the bytes that it forwards.
type Mode int

// The modes of a proxy.
const (
	// Pass forwards everything at once.
	Pass Mode = iota
	// Delay forwards everything after a delay.
	Delay
	// BlockAll holds back both directions; connections stay open.
	BlockAll
	// BlockRequests holds back everything sent to the server; replies to
	// earlier requests pass.
	BlockRequests
	// BlockReplies holds back everything sent by the server.
	BlockReplies
	// Refuse resets open connections and refuses new ones.
	Refuse
	// modeCount is the number of modes that the faults of all cells choose from.
	modeCount
	// ResetReplies forwards requests, and resets a connection when the server replies.
	ResetReplies = modeCount
)

// maxConnections is how many connections a proxy accepts at a time. It resets others.
const maxConnections = 32

// addedDelay is how long bytes are held back in mode Delay.
const addedDelay = 150 * time.Millisecond

// Proxy forwards TCP connections to a target address. It is safe for concurrent
// use.
type Proxy struct {
	target, address string
	listener        net.Listener

	mu          sync.Mutex
	mode        Mode
	modeChanged chan struct{}
	conns       map[net.Conn]bool
	// open counts the connections to the server. hidesEnds reports whether the server does
	// not learn that a client has gone, so that its connection stays open.
	open      int
	hidesEnds bool
	// hidden holds the connections of clients of which the end is hidden.
	hidden map[net.Conn]bool
	closed chan struct{}
}

// NewProxy returns a proxy that listens on a free loopback port and forwards
// connections to a target address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{target: target, address: l.Addr().String(), listener: l, modeChanged: make(chan struct{}), conns: map[net.Conn]bool{}, hidden: map[net.Conn]bool{}, closed: make(chan struct{})}
	go p.accept(l)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.address }

// SetMode changes the mode, also for open connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	former := p.mode
	p.mode = m
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if m == Refuse && former != Refuse {
		_ = p.listener.Close()
	}
	p.mu.Unlock()
	switch {
	case m == Refuse:
		p.Reset()
	case former == Refuse:
		p.listenAgain()
	}
}

// listenRetryDelay is the pause between two attempts to listen again.
const listenRetryDelay = 10 * time.Millisecond

// listenAgain listens at the address of the proxy, which another process may use as the
// port of an outgoing connection for a moment.
func (p *Proxy) listenAgain() {
	for {
		l, err := net.Listen("tcp", p.address)
		if err == nil {
			p.mu.Lock()
			p.listener = l
			p.mu.Unlock()
			go p.accept(l)
			return
		}
		time.Sleep(listenRetryDelay)
	}
}

// HideEnds sets whether the server does not learn that a client has gone, as if the
// client's machine had lost power.
func (p *Proxy) HideEnds(hide bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hidesEnds = hide
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// Close stops listening and resets all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	_ = p.listener.Close()
	close(p.closed)
	p.mu.Unlock()
	p.Reset()
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.handle(c)
	}
}

func (p *Proxy) handle(client net.Conn) {
	if !p.admit() {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		p.release()
		return
	}
	p.track(client, server)
	go p.copy(server, client, BlockRequests)
	p.copy(client, server, BlockReplies)
	p.release()
}

// admit counts a connection, and reports whether the server accepts it.
func (p *Proxy) admit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == maxConnections {
		return false
	}
	p.open++
	return true
}

func (p *Proxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// copy forwards one direction of a connection. The parameter blocking is the mode
// that holds this direction back.
func (p *Proxy) copy(to, from net.Conn, blocking Mode) {
	defer p.closeConns(to, from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.awaitMode(blocking)
			if blocking == BlockReplies && p.currentMode() == ResetReplies {
				reset(to)
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				p.awaitShown(to, from, blocking)
				return
			}
		}
		if err != nil {
			p.awaitShown(to, from, blocking)
			return
		}
	}
}

// awaitShown waits until the proxy is closed if the end of the client's connection is
// hidden from the server.
func (p *Proxy) awaitShown(to, from net.Conn, blocking Mode) {
	p.mu.Lock()
	client := from
	if blocking == BlockReplies {
		client = to
	}
	p.hidden[client] = p.hidden[client] || p.hidesEnds && blocking == BlockRequests
	hidden := p.hidden[client]
	p.mu.Unlock()
	if hidden {
		<-p.closed
	}
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// awaitMode waits while the mode is BlockAll or blocking. In mode Delay it waits
// for the added delay.
func (p *Proxy) awaitMode(blocking Mode) {
	for {
		p.mu.Lock()
		mode, modeChanged := p.mode, p.modeChanged
		p.mu.Unlock()
		switch mode {
		case BlockAll, blocking:
			<-modeChanged
		case Delay:
			time.Sleep(addedDelay)
			return
		default:
			return
		}
	}
}

func (p *Proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		delete(p.hidden, c)
		_ = c.Close()
	}
}
