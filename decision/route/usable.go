package route

import "time"

// Usable returns the upstream of a name if every filter keeps it, or nil.
func (t *Table) Usable(now time.Time, r *Request, name string) *Upstream {
	u := t.upstreams[name]
	if u == nil || !t.keep(now, r, u) {
		return nil
	}
	return u
}
