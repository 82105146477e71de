package route

const (
	// prefixSetSize is the number of prefixes remembered for each upstream.
	prefixSetSize = 64
	// lastUpstreamsSize is the number of prefixes for which this entry
	// remembers the last upstream.
	lastUpstreamsSize = 4096
)

// Affinity is the rank of an upstream on the hash ring for the prefix of the
// request being routed.
type Affinity int

// The affinities. They depend on a hash only, so all entries assign the same
// ones without coordination.
const (
	AffinityNone   Affinity = 0
	AffinitySecond Affinity = 1
	AffinityFirst  Affinity = ringChoices
)

// prefixSet holds prefixes that are probably in an upstream's cache. It is
// direct-mapped: a newer prefix replaces an older one with the same remainder.
type prefixSet [prefixSetSize]uint64

// Holds reports whether a prefix is probably in the upstream's cache: this entry
// sent it there or a cache event reported it as stored, and no event has reported
// it as dropped since.
func (u *Upstream) Holds(prefix uint64) bool {
	return prefix != 0 && u.prefixes[prefix%prefixSetSize] == prefix
}

func (u *Upstream) addPrefix(prefix uint64) {
	if prefix != 0 {
		u.prefixes[prefix%prefixSetSize] = prefix
	}
}

func (u *Upstream) removePrefix(prefix uint64) {
	if u.Holds(prefix) {
		u.prefixes[prefix%prefixSetSize] = 0
	}
}

// lastUpstreams maps each prefix to the upstream that it was last sent to. It is
// direct-mapped like prefixSet.
type lastUpstreams [lastUpstreamsSize]struct {
	prefix   uint64
	upstream *Upstream
}

func (m *lastUpstreams) get(prefix uint64) *Upstream {
	e := &m[prefix%lastUpstreamsSize]
	if prefix == 0 || e.prefix != prefix {
		return nil
	}
	return e.upstream
}

func (m *lastUpstreams) set(prefix uint64, u *Upstream) {
	if prefix != 0 {
		m[prefix%lastUpstreamsSize] = struct {
			prefix   uint64
			upstream *Upstream
		}{prefix, u}
	}
}

// CacheReport lists changes to an upstream's prefix cache, as reported by the
// upstream. Reports may arrive late, and some may be lost.
type CacheReport struct {
	Stored  []uint64 `json:"stored,omitempty"`
	Dropped []uint64 `json:"dropped,omitempty"`
	// Cleared is set if everything stored before this report is gone.
	Cleared bool `json:"cleared,omitempty"`
}

// ReportCache applies a cache report. A lost report has no lasting effect: if a
// prefix is wrongly assumed to be cached, the next request with it pays for one
// prefill, which puts it back into the cache.
func (t *Table) ReportCache(name string, c CacheReport) {
	u := t.upstreams[name]
	if u == nil {
		return
	}
	if c.Cleared {
		u.prefixes = prefixSet{}
	}
	for _, p := range c.Dropped {
		u.removePrefix(p)
	}
	for _, p := range c.Stored {
		u.addPrefix(p)
	}
}
