package waiting

// maxRecent bounds the requests that Recent keeps apart.
const maxRecent = 4096

// Recent remembers the hashed IDs of requests that were refused lately, so that they are
// known when they come back. The zero value is empty.
type Recent struct{ last, before map[uint32]bool }

// Add remembers a request.
func (r *Recent) Add(id uint32) {
	if r.last == nil || len(r.last) >= maxRecent {
		r.last, r.before = map[uint32]bool{}, r.last
	}
	r.last[id] = true
}

// Has reports whether a request was refused lately.
func (r *Recent) Has(id uint32) bool { return r.last[id] || r.before[id] }
