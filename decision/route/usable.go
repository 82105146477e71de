package route

import "time"

// Usable returns the upstream of a name if it may run a request at all, or nil.
// Choosy filters are not asked: they let a request wait for a better upstream,
// and the caller has chosen already.
func (t *Table) Usable(now time.Time, r *Request, name string) *Upstream {
	u := t.upstreams[name]
	if u == nil || !keep(t.filters, now, r, u) {
		return nil
	}
	return u
}
