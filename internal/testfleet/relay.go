package testfleet

import (
	"io"
	"net"
	"sync"

	"github.com/stretchr/testify/require"
)

// network relays the connections between entries and can partition zones. Each zone
// has its own IP, which is the source of its connections.
type network struct {
	mu      sync.Mutex
	zones   map[string]string // IP by zone
	cutOff  map[string]bool   // IPs that are cut off from the others
	stalled []net.Conn        // open connections of entries that carry no data because of a cut
	live    map[*link]bool
}

// link is one connection through a relay.
type link struct{ from, to net.Conn }

func newNetwork() *network {
	return &network{zones: map[string]string{}, cutOff: map[string]bool{}, live: map[*link]bool{}}
}

// isCut reports whether two IPs are partitioned from each other.
func (n *network) isCut(a, b string) bool { return a != b && (n.cutOff[a] || n.cutOff[b]) }

// CutZone partitions a zone from all others: connections between its entries and other
// entries stay open, but everything sent on them is lost.
func (f *Fleet) CutZone(zone string) {
	f.t.Helper()
	n := f.network
	n.mu.Lock()
	defer n.mu.Unlock()
	require.NotEmpty(f.t, n.zones[zone], "no entry of the zone was started with Relayed set")
	n.cutOff[n.zones[zone]] = true
	for l := range n.live {
		if n.isCut(host(l.from.RemoteAddr()), host(l.to.RemoteAddr())) {
			// The connecting entry's side stays open but gets no more data.
			n.stalled = append(n.stalled, l.from)
			_ = l.to.Close()
			delete(n.live, l)
		}
	}
}

// HealZones ends all partitions.
func (f *Fleet) HealZones() {
	n := f.network
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cutOff)
	for _, c := range n.stalled {
		_ = c.Close()
	}
	n.stalled = nil
}

func host(a net.Addr) string {
	ip, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	return ip
}

// relay accepts connections at one address and forwards them to another.
func (f *Fleet) relay(listen, target string) {
	f.t.Helper()
	ln, err := net.Listen("tcp", listen)
	require.NoError(f.t, err)
	f.t.Cleanup(func() {
		_ = ln.Close()
		f.HealZones()
	})
	targetIP, _, err := net.SplitHostPort(target)
	require.NoError(f.t, err)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go f.network.proxy(conn, target, targetIP)
		}
	}()
}

func (n *network) proxy(from net.Conn, target, targetIP string) {
	n.mu.Lock()
	if n.isCut(host(from.RemoteAddr()), targetIP) {
		n.stalled = append(n.stalled, from)
		n.mu.Unlock()
		return
	}
	n.mu.Unlock()
	to, err := net.Dial("tcp", target)
	if err != nil {
		_ = from.Close()
		return
	}
	l := &link{from: from, to: to}
	n.mu.Lock()
	n.live[l] = true
	n.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { _, _ = io.Copy(to, from); done <- struct{}{} }()
	go func() { _, _ = io.Copy(from, to); done <- struct{}{} }()
	<-done
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = to.Close()
	if n.live[l] {
		delete(n.live, l)
		_ = from.Close()
	}
}
