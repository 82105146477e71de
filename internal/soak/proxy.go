package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy is a loopback TCP proxy that can misbehave.
type proxy struct {
	listener net.Listener
	target   string
	at       string

	mu    sync.Mutex
	conns map[net.Conn]bool
	delay time.Duration
	// toServer and toClient say which bytes are held back for good.
	toServer, toClient bool
	refuse             bool
	closed             bool
	// disturbed says that the proxy has misbehaved at some time.
	disturbed bool
	tasks     sync.WaitGroup
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	p.at = l.Addr().String()
	p.tasks.Add(1)
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.at }

// down refuses connections and cuts those that stand, as the port of a process that
// has ended does, until up.
func (p *proxy) down() {
	p.mu.Lock()
	// An error means that it is closed already.
	_ = p.listener.Close()
	p.mu.Unlock()
	p.resetAll()
}

func (p *proxy) up() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	l, err := net.Listen("tcp", p.at)
	if err != nil {
		// The port was free a moment ago; callers find the upstream gone for good.
		return
	}
	p.listener = l
	p.tasks.Add(1)
	go p.accept(l)
}

func (p *proxy) accept(l net.Listener) {
	defer p.tasks.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.tasks.Add(1)
		go func() {
			defer p.tasks.Done()
			p.serve(c)
		}()
	}
}

func (p *proxy) serve(client net.Conn) {
	if !p.track(client) {
		return
	}
	defer p.forget(client)
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	if !p.track(server) {
		return
	}
	defer p.forget(server)
	done := make(chan struct{}, 2)
	go func() { p.copy(server, client, &p.toServer); done <- struct{}{} }()
	go func() { p.copy(client, server, &p.toClient); done <- struct{}{} }()
	<-done
	// The other direction ends with its connections.
	_ = client.Close()
	_ = server.Close()
	<-done
}

// copy passes bytes on until one side ends. Bytes of a direction that is held
// back are lost.
func (p *proxy) copy(to, from net.Conn, held *bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		delay, silent := p.delay, *held
		p.mu.Unlock()
		if silent {
			// The connection has lost bytes and stays silent for good.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		time.Sleep(delay)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuse || p.closed {
		reset(c)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) forget(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Makes Close reset the connection.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// resetAll resets every connection.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// set changes how the proxy misbehaves.
func (p *proxy) set(change func(p *proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// heal makes the proxy sound; connections that have gone silent stay so.
func (p *proxy) heal() {
	p.set(func(p *proxy) { p.delay, p.toServer, p.toClient, p.refuse = 0, false, false, false })
}

// sound reports whether the proxy has never misbehaved.
func (p *proxy) sound() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.disturbed
}

func (p *proxy) close() {
	p.set(func(p *proxy) {
		p.closed = true
		_ = p.listener.Close()
	})
	p.resetAll()
	p.tasks.Wait()
}
