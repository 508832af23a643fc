package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections to a runner. While it is cut it resets open connections and
// refuses new ones.
type proxy struct {
	addr, target string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	p := &proxy{target: target, conns: map[net.Conn]bool{}}
	l, err := net.Listen("tcp", freeAddr())
	if err != nil {
		return nil, err
	}
	p.addr, p.listener = l.Addr().String(), l
	go p.accept(l)
	return p, nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) forward(conn net.Conn) {
	up, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(conn)
		return
	}
	p.mu.Lock()
	p.conns[conn], p.conns[up] = true, true
	p.mu.Unlock()
	var copying sync.WaitGroup
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		reset(to)
		reset(from)
	}
	copying.Go(func() { pipe(up, conn) })
	copying.Go(func() { pipe(conn, up) })
	copying.Wait()
	p.mu.Lock()
	delete(p.conns, conn)
	delete(p.conns, up)
	p.mu.Unlock()
}

// cut refuses connections for a time.
func (p *proxy) cut(d time.Duration) {
	p.mu.Lock()
	_ = p.listener.Close()
	for conn := range p.conns {
		reset(conn)
	}
	p.mu.Unlock()
	time.Sleep(d)
	for {
		l, err := net.Listen("tcp", p.addr)
		if err == nil {
			p.mu.Lock()
			p.listener = l
			p.mu.Unlock()
			go p.accept(l)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
