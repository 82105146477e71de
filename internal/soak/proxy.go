package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// death is how the end of a server's process shows at its proxy.
type death struct {
	// closes makes the open connections end with a close; otherwise with a reset.
	closes bool
	port   deadPort
}

// deadPort is what new connections to a dead process meet.
type deadPort int

const (
	// portRefuses refuses connections. portCloses accepts and closes them, and portSilent
	// accepts and keeps them, as a proxy does that outlives its server.
	portRefuses deadPort = iota
	portCloses
	portSilent
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
	// isDown is set while the server's process is dead.
	isDown bool
	death  death
	// wasFaulty is set once a fault was injected.
	wasFaulty bool
	// disturbed has the times of faults of the proxy and of its server, and alive ends that of
	// the server's death.
	disturbed timeline
	alive     func()
	// harmed has the times of the faults of the proxy alone.
	harmed timeline
	// held makes the proxy keep all bytes until it is unset, which released announces.
	held     bool
	released *sync.Cond
	tasks    sync.WaitGroup
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	p.addr, p.released = l.Addr().String(), sync.NewCond(&p.mu)
	p.tasks.Add(1)
	go p.accept(l)
	return p, nil
}

func (p *proxy) currentTarget() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

func (p *proxy) address() string { return p.addr }

// down ends the open connections and treats new ones as the proxy's death says, until up is
// called.
func (p *proxy) down() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isDown {
		p.isDown, p.alive = true, p.disturbed.begin()
	}
	if p.death.port == portRefuses {
		// An error means that the listener is closed already.
		_ = p.listener.Close()
	}
	for c := range p.conns {
		if p.death.closes {
			_ = c.Close()
		} else {
			reset(c)
		}
	}
}

// up lets new connections through again and ends those that met a silent port.
func (p *proxy) up() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	if p.isDown {
		p.alive()
	}
	p.isDown = false
	for c := range p.conns {
		reset(c)
	}
	if p.death.port != portRefuses {
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
	if p.meetsDeadPort(client) {
		return
	}
	server, err := net.Dial("tcp", p.currentTarget())
	if err != nil {
		return
	}
	if !p.track(server) {
		return
	}
	defer p.forget(server)
	// A process that died in the meantime is not there to answer.
	if p.meetsDeadPort(client) {
		return
	}
	done := make(chan bool, 2)
	go func() { done <- p.copy(server, client, &p.dropToServer) }()
	go func() { done <- p.copy(client, server, &p.dropToClient) }()
	// Ending the connections ends the other direction.
	if clean := <-done; clean {
		_ = client.Close()
		_ = server.Close()
	} else {
		reset(client)
		reset(server)
	}
	<-done
}

// meetsDeadPort reports whether the server's process is dead. It returns when the connection
// may be closed.
func (p *proxy) meetsDeadPort(client net.Conn) bool {
	p.mu.Lock()
	isDown, port := p.isDown, p.death.port
	p.mu.Unlock()
	if isDown && port == portSilent {
		// The error is that of the connection's end.
		_, _ = io.Copy(io.Discard, client)
	}
	return isDown
}

// copy forwards bytes until one side ends, and reports whether the source was closed with all
// its bytes forwarded. If *drop is set when bytes arrive, it discards these and all later bytes
// and returns only when the source ends.
func (p *proxy) copy(to, from net.Conn, drop *bool) bool {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return errors.Is(err, io.EOF)
		}
		p.mu.Lock()
		delay, drop := p.delay, *drop
		p.mu.Unlock()
		if drop {
			// Bytes were lost, so nothing may be forwarded on this connection any more.
			_, _ = io.Copy(io.Discard, from)
			return false
		}
		time.Sleep(delay)
		p.waitWhileHeld()
		if _, err := to.Write(buffer[:n]); err != nil {
			return false
		}
	}
}

// waitWhileHeld blocks while the proxy holds all bytes back.
func (p *proxy) waitWhileHeld() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.held && !p.closed {
		p.released.Wait()
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
	p.released.Broadcast()
}

// clearFaults ends all faults. Connections that have lost bytes stay silent.
func (p *proxy) clearFaults() {
	p.update(func(p *proxy) {
		p.delay, p.dropToServer, p.dropToClient, p.refuse, p.held = 0, false, false, false, false
	})
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
