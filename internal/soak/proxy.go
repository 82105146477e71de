package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy is a loopback TCP proxy that can inject faults.
type proxy struct {
	listener net.Listener
	target   string
	addr     string

	mu    sync.Mutex
	conns map[net.Conn]bool
	delay time.Duration
	// dropToServer and dropToClient make the proxy discard the bytes of a direction.
	dropToServer, dropToClient bool
	refuse                     bool
	closed                     bool
	// wasFaulty is set once a fault was injected.
	wasFaulty bool
	tasks     sync.WaitGroup
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	p.addr = l.Addr().String()
	p.tasks.Add(1)
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.addr }

// down refuses new connections and resets the open ones, like the port of a process
// that has ended, until up is called.
func (p *proxy) down() {
	p.mu.Lock()
	// An error means that the listener is closed already.
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
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		// The port should still be free. If it is not, the upstream stays unreachable.
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
	go func() { p.copy(server, client, &p.dropToServer); done <- struct{}{} }()
	go func() { p.copy(client, server, &p.dropToClient); done <- struct{}{} }()
	<-done
	// Closing the connections ends the other direction.
	_ = client.Close()
	_ = server.Close()
	<-done
}

// copy forwards bytes until one side ends. If *drop is set when bytes arrive, it
// discards these and all later bytes and returns only when the source ends.
func (p *proxy) copy(to, from net.Conn, drop *bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		delay, drop := p.delay, *drop
		p.mu.Unlock()
		if drop {
			// Bytes were lost, so nothing may be forwarded on this connection any more.
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
		// With a linger time of 0, Close sends a reset.
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

// update changes the faults of the proxy.
func (p *proxy) update(change func(p *proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// clearFaults ends all faults. Connections that have lost bytes stay silent.
func (p *proxy) clearFaults() {
	p.update(func(p *proxy) { p.delay, p.dropToServer, p.dropToClient, p.refuse = 0, false, false, false })
}

// neverFaulty reports whether no fault was ever injected.
func (p *proxy) neverFaulty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.wasFaulty
}

func (p *proxy) close() {
	p.update(func(p *proxy) {
		p.closed = true
		_ = p.listener.Close()
	})
	p.resetAll()
	p.tasks.Wait()
}
