package exchange

import (
	"context"
	"slices"
	"sync"
	"time"

	"jaylink/internal/socket"
)

// defaultKeepAlive is how long an idle connection is kept if the upstream states no
// keep-alive time.
const defaultKeepAlive = 8 * time.Second

// keepAliveSlack is subtracted from the keep-alive time of a connection, so that the
// upstream does not close it while a request is on its way.
const keepAliveSlack = 700 * time.Millisecond

// Pool holds the idle connections to each upstream. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn // by address, the last used at the end
	open map[string]int     // connections by address, including those in use
	// RecentUse is the time in which upstreams don't close a connection for being idle.
	RecentUse time.Duration
	// Opened, if set, is called after each new connection is established.
	Opened func()
}

// defaultRecentUse is the RecentUse of a new pool.
const defaultRecentUse = time.Second

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: map[string][]*conn{}, open: map[string]int{}, RecentUse: defaultRecentUse}
}

// Open returns the number of connections to an upstream, including those in use and
// those being established.
func (p *Pool) Open(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// acquire returns a clean idle connection that suits a request, or a new one. Connections
// that don't suit it stay in the pool.
func (p *Pool) acquire(ctx context.Context, address string, req *Request) (*conn, error) {
	for {
		c := p.popIdle(address, req.suits)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.isClean() {
			return c, nil
		}
		p.discard(address, c)
	}
	p.addOpen(address, 1)
	c, err := dial(ctx, address)
	if err != nil {
		p.addOpen(address, -1)
		return nil, err
	}
	if p.Opened != nil {
		p.Opened()
	}
	if !c.isClean() {
		p.discard(address, c)
		return nil, ErrUnsolicited
	}
	return c, nil
}

// popIdle removes the most recently used idle connection that suits from the pool, so that
// surplus connections can expire. It returns nil if there is none.
func (p *Pool) popIdle(address string, suits func(*conn) bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if suits(c) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// suits reports whether the request may be sent on an idle connection.
func (r *Request) suits(c *conn) bool {
	isFresh := r.MaxIdle == 0 || time.Since(c.idleSince) <= r.MaxIdle
	return !r.NewConnection && isFresh && !c.hasCarried(r.ID)
}

// takeKept removes a clean idle connection that was opened before a time from the pool, the most
// recently used one first.
func (p *Pool) takeKept(address string, opened time.Time) (*conn, error) {
	err := ErrNoneKept
	for {
		c := p.popIdle(address, func(c *conn) bool { return c.opened.Before(opened) })
		switch {
		case c == nil:
			return nil, err
		case !time.Now().Before(c.expires):
			// The upstream closes it for being idle.
		case c.isClean():
			return c, nil
		case c.state() == socket.Closed && time.Since(c.idleSince) < p.RecentUse:
			err = ErrKeptClosed
		}
		p.discard(address, c)
	}
}

// addOpen changes the number of connections to an upstream by n.
func (p *Pool) addOpen(address string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address] += n
	if p.open[address] <= 0 {
		delete(p.open, address)
		delete(p.idle, address)
	}
}

// release returns a connection to the pool after a clean exchange.
func (p *Pool) release(address string, c *conn, keepAlive time.Duration) {
	if keepAlive <= 0 {
		keepAlive = defaultKeepAlive
	}
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(keepAlive - keepAliveSlack)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// discard closes a connection. If an exchange is abandoned, closing its connection
// makes the upstream stop working on the request.
func (p *Pool) discard(address string, c *conn) {
	// The connection is not used again, so the error of Close does not matter.
	_ = c.Close()
	p.addOpen(address, -1)
}

// Sweep closes the idle connections that have expired.
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
		p.discard(addresses[i], c)
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
			p.discard(address, c)
		}
	}
}
