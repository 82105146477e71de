package route

import "time"

// Usable returns the named upstream if the filters allow it to run the request,
// and nil otherwise. ChoosyFilters are skipped: they make a request wait for a
// better upstream, and here the caller has already chosen one.
func (t *Table) Usable(now time.Time, r *Request, name string) *Upstream {
	u := t.upstreams[name]
	if u == nil || !keptByAll(t.filters, now, r, u) {
		return nil
	}
	return u
}
