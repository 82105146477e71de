package route

// heldPrefixes is the number of prefixes remembered for each upstream, and
// recentPrefixes that for the whole entry. Both are direct-mapped: a newer
// prefix takes the place of an older one with the same remainder.
const (
	heldPrefixes   = 64
	recentPrefixes = 4096
)

// Affinity says how well an upstream suits the prefix of the request that is
// being decided.
type Affinity int

// The affinities. Every entry assigns the same ones without talking to others.
const (
	AffinityNone   Affinity = 0
	AffinitySecond Affinity = 1
	AffinityFirst  Affinity = ringChoices
)

// held are the prefixes that an upstream is believed to have in memory.
type held [heldPrefixes]uint64

// Holds reports whether the upstream is believed to have a prefix in memory:
// this entry sent it there, or a cache event said so, and nothing said since
// that it is gone.
func (u *Upstream) Holds(prefix uint64) bool {
	return prefix != 0 && u.held[prefix%heldPrefixes] == prefix
}

func (u *Upstream) hold(prefix uint64) {
	if prefix != 0 {
		u.held[prefix%heldPrefixes] = prefix
	}
}

func (u *Upstream) forget(prefix uint64) {
	if u.Holds(prefix) {
		u.held[prefix%heldPrefixes] = 0
	}
}

// recent remembers where each prefix was last sent.
type recent [recentPrefixes]struct {
	prefix   uint64
	upstream *Upstream
}

func (m *recent) upstream(prefix uint64) *Upstream {
	e := &m[prefix%recentPrefixes]
	if prefix == 0 || e.prefix != prefix {
		return nil
	}
	return e.upstream
}

func (m *recent) set(prefix uint64, u *Upstream) {
	if prefix != 0 {
		m[prefix%recentPrefixes] = struct {
			prefix   uint64
			upstream *Upstream
		}{prefix, u}
	}
}

// CacheReport is what an upstream says has changed in its prefix memory. It
// may be late, and earlier reports may be missing.
type CacheReport struct {
	Stored  []uint64 `json:"stored,omitempty"`
	Dropped []uint64 `json:"dropped,omitempty"`
	// Cleared says that nothing stored before this report is left.
	Cleared bool `json:"cleared,omitempty"`
}

// ReportCache takes a cache report. A missed report does no lasting harm: a
// prefix that is believed held but is gone costs one prefill, after which the
// belief is true again.
func (t *Table) ReportCache(name string, c CacheReport) {
	u := t.upstreams[name]
	if u == nil {
		return
	}
	if c.Cleared {
		u.held = held{}
	}
	for _, p := range c.Dropped {
		u.forget(p)
	}
	for _, p := range c.Stored {
		u.hold(p)
	}
}
