package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that have been idle for longer than the active
// configuration allows. http.Server.IdleTimeout can't be used for this, because it must
// not be changed while the server runs.
type idleConns struct {
	// limit returns the longest idle time; 0 means no limit.
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// track is the http.Server.ConnState hook: it starts the timer of a connection that
// becomes idle, and stops that of one that leaves the idle state.
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

// close closes a connection unless it has left the idle state.
func (i *idleConns) close(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers[c] == nil {
		return
	}
	delete(i.timers, c)
	// The server notices the closed connection and removes it.
	_ = c.Close()
}

// idleLimit returns how long a caller's connection may be idle under the active
// configuration; 0 means no limit.
func (g *Gateway) idleLimit() time.Duration {
	c := g.config.Load()
	if c == nil {
		return 0
	}
	return c.Limits.IdleTimeout
}
