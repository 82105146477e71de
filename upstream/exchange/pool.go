package exchange

import (
	"context"
	"sync"
	"time"
)

// defaultKeepAlive is how long an idle connection is kept if the upstream does
// not say.
const defaultKeepAlive = 8 * time.Second

// keepAliveSlack is taken off the time that an upstream states, so that a
// request does not cross its close.
const keepAliveSlack = 700 * time.Millisecond

// Pool keeps idle connections by upstream. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int
	// Opened is called for each new connection, if set.
	Opened func()
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*conn{}, open: map[string]int{}} }

// Open returns the number of connections to an upstream.
func (p *Pool) Open(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// take returns a clean idle connection, or a new one. With a maxIdle, connections
// that have been idle for longer are left to others.
func (p *Pool) take(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.pop(address, maxIdle)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.quiet() {
			return c, nil
		}
		p.drop(address, c)
	}
	p.count(address, 1)
	c, err := dial(ctx, address)
	if err != nil {
		p.count(address, -1)
		return nil, err
	}
	if p.Opened != nil {
		p.Opened()
	}
	return c, nil
}

// pop takes the connection that was used last, so that spare ones can expire.
func (p *Pool) pop(address string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if maxIdle > 0 && time.Since(c.idleSince) > maxIdle {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) count(address string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address] += n
	if p.open[address] <= 0 {
		delete(p.open, address)
		delete(p.idle, address)
	}
}

// put keeps a connection after a clean exchange.
func (p *Pool) put(address string, c *conn, keepAlive time.Duration) {
	if keepAlive <= 0 {
		keepAlive = defaultKeepAlive
	}
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(keepAlive - keepAliveSlack)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// drop closes a connection. Closing an abandoned exchange makes the upstream
// stop its work.
func (p *Pool) drop(address string, c *conn) {
	// The connection is given up; an error of Close changes nothing.
	_ = c.Close()
	p.count(address, -1)
}

// Sweep closes idle connections that have expired or that their upstream has
// closed.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	var old []*conn
	var addresses []string
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			old, addresses = append(old, c), append(addresses, address)
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for i, c := range old {
		p.drop(addresses[i], c)
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for address, list := range idle {
		for _, c := range list {
			p.drop(address, c)
		}
	}
}
