package entry

import (
	"crypto/rand"
	"encoding/hex"
	"slices"
	"strings"
	"sync"
	"time"

	"jaylink/peer/peerpb"
)

// registry holds the records of the entry, the ended ones for a while.
type registry struct {
	mu      sync.Mutex
	records map[string]*Record
	active  int
	held    int           // bytes of prompt of copies
	idle    chan struct{} // closed while no request is in flight

	// kept has the ended records, the oldest first.
	kept     []keptRecord
	keptSize int // bytes
	maxKept  int
}

// keptRecord is an ended record that callers may still ask for.
type keptRecord struct {
	id   string
	size int // bytes of prompt and answer
}

// newRegistry returns a registry that keeps so many bytes of ended requests.
func newRegistry(maxKept int) *registry {
	r := &registry{records: map[string]*Record{}, idle: make(chan struct{}), maxKept: maxKept}
	close(r.idle)
	return r
}

// requestIDBytes is the length of the random part of a request ID.
const requestIDBytes = 16

// newRequestID returns an ID that names the entry that accepted the request.
func newRequestID(entry string) string {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:]) + "." + entry
}

// acceptingEntry returns the entry that a request ID names.
func acceptingEntry(id string) (string, bool) {
	random, entry, ok := strings.Cut(id, ".")
	if !ok || len(random) != 2*requestIDBytes || entry == "" {
		return "", false
	}
	_, err := hex.DecodeString(random)
	return entry, err == nil
}

func (r *registry) add(rec *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[rec.ID] = rec
	r.begin()
}

// maxHeld bounds the copies of other entries' requests, in bytes of prompt.
const maxHeld = 64 << 20

// hold adds a copy of another entry's request. It returns the record that is
// there already, or false and nil if the entry holds too much.
func (r *registry) hold(rec *Record) (*Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.records[rec.ID]; old != nil {
		return old, false
	}
	if r.held+len(rec.Call.Body) > maxHeld {
		return nil, false
	}
	r.held += len(rec.Call.Body)
	rec.held = true
	r.records[rec.ID] = rec
	return rec, true
}

// adopted counts a record that another entry drove as in flight.
func (r *registry) adopted(rec *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin()
	r.kept = slices.DeleteFunc(r.kept, func(k keptRecord) bool {
		if k.id != rec.ID {
			return false
		}
		r.keptSize -= k.size
		return true
	})
}

// begin counts one more request in flight; the caller holds the lock.
func (r *registry) begin() {
	r.active++
	if r.active == 1 {
		r.idle = make(chan struct{})
	}
}

// movable returns the records that this entry drives and another may go on
// with: accepted, idempotent, not ended and not too large.
func (r *registry) movable() []*Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*Record
	for _, rec := range r.records {
		rec.mu.Lock()
		ok := rec.accepted && rec.idempotent && !rec.done && len(rec.Call.Body)+len(rec.text) <= maxCopy &&
			rec.ownership.role == peerpb.Role_ROLE_OWNER && !rec.ownership.releasing
		rec.mu.Unlock()
		if ok {
			out = append(out, rec)
		}
	}
	return out
}

func (r *registry) get(id string) *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records[id]
}

// ended counts a record as no longer in flight. One that was never accepted is
// dropped; the others are kept for callers that come back, the newest ones as
// far as their size is within the limit.
func (r *registry) ended(rec *Record) {
	size := rec.size()
	v, _ := rec.read(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	if r.active == 0 {
		close(r.idle)
	}
	if !v.accepted {
		delete(r.records, rec.ID)
		return
	}
	r.kept = append(r.kept, keptRecord{rec.ID, size})
	r.keptSize += size
	for r.keptSize > r.maxKept && len(r.kept) > 1 {
		delete(r.records, r.kept[0].id)
		r.keptSize -= r.kept[0].size
		r.kept = r.kept[1:]
	}
}

// inFlight returns the number of requests in flight and a channel that is
// closed once there are none.
func (r *registry) inFlight() (int, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active, r.idle
}

// forget drops records that ended before a time, and those of other entries
// whose deadline was before it.
func (r *registry) forget(before time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, rec := range r.records {
		rec.mu.Lock()
		old := rec.done && rec.ended.Before(before) || rec.left(before)
		rec.mu.Unlock()
		if !old {
			continue
		}
		if rec.held {
			r.held -= len(rec.Call.Body)
		}
		delete(r.records, id)
	}
	r.kept = slices.DeleteFunc(r.kept, func(k keptRecord) bool {
		if r.records[k.id] != nil {
			return false
		}
		r.keptSize -= k.size
		return true
	})
}
