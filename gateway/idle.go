package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that have been idle for as long as the
// configuration in force allows, which a server of net/http can't be told while
// it runs.
type idleConns struct {
	// limit returns the longest idle time; 0 is no bound.
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// track is the server's hook for changes of a connection's state.
func (i *idleConns) track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if limit := i.limit(); state == http.StateIdle && limit > 0 {
		i.timers[c] = time.AfterFunc(limit, func() { i.close(c) })
	}
}

// close closes a connection that is still idle.
func (i *idleConns) close(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers[c] == nil {
		return
	}
	delete(i.timers, c)
	// The server notices the closed connection and forgets it.
	_ = c.Close()
}

// idleLimit is how long a caller's connection may be idle.
func (g *Gateway) idleLimit() time.Duration {
	c := g.config.Load()
	if c == nil {
		return 0
	}
	return c.Limits.IdleTimeout
}
