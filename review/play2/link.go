package main

import (
	"net"
	"sync"
)

// link is the network between the gateways and one server. While it is cut, what either side sends
// is held up, also the end of a connection.
type link struct {
	address  string
	listener net.Listener

	mu     sync.Mutex
	target string
	isCut  bool
	healed *sync.Cond
}

// newLink returns a link to a server that listens at target.
func (w *world) newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", w.ip(101)+":0")
	if err != nil {
		return nil, err
	}
	k := &link{address: l.Addr().String(), listener: l, target: target}
	k.healed = sync.NewCond(&k.mu)
	go k.accept()
	return k, nil
}

func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isCut = cut
	k.healed.Broadcast()
}

// await waits until the link is not cut.
func (k *link) await() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.isCut {
		k.healed.Wait()
	}
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.carry(c.(*net.TCPConn))
	}
}

// carry forwards one connection in both directions.
func (k *link) carry(near *net.TCPConn) {
	k.await()
	c, err := net.Dial("tcp", k.target)
	if err != nil {
		// Nothing listens behind the link, which the caller sees as a reset.
		reset(near)
		return
	}
	far := c.(*net.TCPConn)
	go k.pipe(near, far)
	k.pipe(far, near)
	_ = far.Close()
	_ = near.Close()
}

// pipe forwards one direction and its end.
func (k *link) pipe(from, to *net.TCPConn) {
	data := make([]byte, 16<<10)
	for {
		n, err := from.Read(data)
		k.await()
		if n > 0 {
			if _, err := to.Write(data[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			// The other side sees the end of the stream; an error means that it is gone.
			_ = to.CloseWrite()
			return
		}
	}
}
