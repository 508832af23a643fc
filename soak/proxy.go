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
)

// addedDelay is how long bytes are held back in mode Delay.
const addedDelay = 150 * time.Millisecond

// Proxy forwards TCP connections to a target address. It is safe for concurrent
// use.
type Proxy struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	mode        Mode
	modeChanged chan struct{}
	conns       map[net.Conn]bool
}

// NewProxy returns a proxy that listens on a free loopback port and forwards
// connections to a target address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{target: target, listener: l, modeChanged: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode, also for open connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops listening and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(c)
	}
}

func (p *Proxy) handle(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.track(client, server)
	go p.copy(server, client, BlockRequests)
	p.copy(client, server, BlockReplies)
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
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
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
		_ = c.Close()
	}
}
