package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// way is what a proxy does with what it carries.
type way int

const (
	wayOpen way = iota
	// waySlow delays each piece of data.
	waySlow
	// waySilent carries nothing on open connections, and accepts new ones that stay silent.
	waySilent
	// wayOneWay carries requests, and no answers.
	wayOneWay
	// wayReset resets all connections.
	wayReset
)

const slowness = 60 * time.Millisecond

// proxy carries connections over loopback to one address, and disturbs them.
type proxy struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	way     way
	changed *sync.Cond
	conns   map[net.Conn]bool
	// opened counts the connections; those up to deaf are silent for good.
	opened, deaf int
}

// newProxy returns an open proxy to an address that runs until the test ends.
func newProxy(t *testing.T, to string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, to: to, conns: map[net.Conn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	go p.serve()
	t.Cleanup(func() {
		_ = l.Close()
		p.set(wayReset)
	})

	return p
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

// set changes what the proxy does, with open connections as well.
func (p *proxy) set(w way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.way = w
	if w == wayReset {
		for c := range p.conns {
			reset(c)
		}
		clear(p.conns)
	}
	p.changed.Broadcast()
}

// deafen makes the connections that are open silent for good, while new ones work.
func (p *proxy) deafen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deaf = p.opened
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(c)
	}
}

func (p *proxy) carry(c net.Conn) {
	d, err := net.Dial("tcp", p.to)
	p.mu.Lock()
	if err != nil || p.way == wayReset {
		p.mu.Unlock()
		reset(c)
		if d != nil {
			reset(d)
		}

		return
	}
	p.conns[c], p.conns[d] = true, true
	p.opened++
	number := p.opened
	p.mu.Unlock()
	go p.copy(c, d, number, true)
	p.copy(d, c, number, false)
}

// copy carries data until one side closes; what is held back is carried when the way is open again.
func (p *proxy) copy(from, to net.Conn, number int, request bool) {
	defer p.drop(from, to)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.await(number, request) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}

			return
		}
	}
}

// await waits while data of this direction is held back, and reports whether it is to be carried on a connection.
func (p *proxy) await(number int, request bool) bool {
	p.mu.Lock()
	for p.way == waySilent || p.way == wayOneWay && !request {
		p.changed.Wait()
	}
	slow, deaf := p.way == waySlow, number <= p.deaf
	p.mu.Unlock()
	if slow {
		time.Sleep(slowness)
	}

	return !deaf
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}
