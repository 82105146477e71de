package testfleet

import (
	"io"
	"net"
	"sync"

	"github.com/stretchr/testify/require"
)

// network carries the connections between entries and can cut off a zone. Each
// zone has an IP number of its own, from which its connections come.
type network struct {
	mu    sync.Mutex
	zones map[string]string // IP number by zone
	cut   map[string]bool   // IP numbers that are cut off from the others
	held  []net.Conn        // connections that a cut keeps from their ends
	live  map[*link]bool
}

// link is one connection through a relay.
type link struct{ from, to net.Conn }

func newNetwork() *network {
	return &network{zones: map[string]string{}, cut: map[string]bool{}, live: map[*link]bool{}}
}

// separated reports whether a cut lies between two IP numbers.
func (n *network) separated(a, b string) bool { return a != b && (n.cut[a] || n.cut[b]) }

// CutZone cuts the connections between a zone's entries and all others: what
// is sent gets lost, as in a network partition.
func (f *Fleet) CutZone(zone string) {
	f.t.Helper()
	n := f.network
	n.mu.Lock()
	defer n.mu.Unlock()
	require.NotEmpty(f.t, n.zones[zone], "no entry of the zone was started with Relayed set")
	n.cut[n.zones[zone]] = true
	for l := range n.live {
		if n.separated(host(l.from.RemoteAddr()), host(l.to.RemoteAddr())) {
			// The entries' ends stay open and hear nothing.
			n.held = append(n.held, l.from)
			_ = l.to.Close()
			delete(n.live, l)
		}
	}
}

// HealZones ends every cut.
func (f *Fleet) HealZones() {
	n := f.network
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	for _, c := range n.held {
		_ = c.Close()
	}
	n.held = nil
}

func host(a net.Addr) string {
	ip, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	return ip
}

// relay accepts connections at one address and passes them on to another.
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
			go f.network.carry(conn, target, targetIP)
		}
	}()
}

func (n *network) carry(from net.Conn, target, targetIP string) {
	n.mu.Lock()
	if n.separated(host(from.RemoteAddr()), targetIP) {
		n.held = append(n.held, from)
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
