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

// registry holds the records of this entry. It retains ended records for a
// limited time.
type registry struct {
	mu        sync.Mutex
	records   map[string]*Record
	active    int           // requests in flight
	copyBytes int           // total body size of copies of other entries' requests
	idle      chan struct{} // closed while no request is in flight

	// retained lists the ended records, oldest first.
	retained         []retainedRecord
	retainedBytes    int // total size of the retained records
	maxRetainedBytes int
}

// retainedRecord is an ended record that callers may still request.
type retainedRecord struct {
	id   string
	size int // body and answer, in bytes
}

// newRegistry returns a registry that retains up to maxRetainedBytes bytes of
// ended records.
func newRegistry(maxRetainedBytes int) *registry {
	r := &registry{records: map[string]*Record{}, idle: make(chan struct{}), maxRetainedBytes: maxRetainedBytes}
	close(r.idle)
	return r
}

// requestIDBytes is the length of the random part of a request ID in bytes.
const requestIDBytes = 16

// newRequestID returns a random ID that ends with the name of the entry that
// accepts the request.
func newRequestID(entry string) string {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:]) + "." + entry
}

// acceptingEntry returns the name of the accepting entry from a request ID. It
// returns false if the ID is malformed.
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
	r.addActive()
}

// maxCopyBytes bounds the total body size of copies of other entries' requests.
const maxCopyBytes = 64 << 20

// addCopy adds a copy of another entry's request. If there is a record with
// this ID already, it returns that record and false. If the copies would exceed
// maxCopyBytes, it returns nil and false.
func (r *registry) addCopy(rec *Record) (*Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.records[rec.ID]; old != nil {
		return old, false
	}
	if r.copyBytes+len(rec.Call.Body) > maxCopyBytes {
		return nil, false
	}
	r.copyBytes += len(rec.Call.Body)
	rec.storedAsCopy = true
	r.records[rec.ID] = rec
	return rec, true
}

// markAdopted counts a request as in flight that this entry takes over from
// another one.
func (r *registry) markAdopted(rec *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addActive()
	r.retained = slices.DeleteFunc(r.retained, func(k retainedRecord) bool {
		if k.id != rec.ID {
			return false
		}
		r.retainedBytes -= k.size
		return true
	})
}

// addActive counts one more request in flight. The caller must hold r.mu.
func (r *registry) addActive() {
	r.active++
	if r.active == 1 {
		r.idle = make(chan struct{})
	}
}

// transferable returns the requests that this entry drives and can hand over:
// accepted, idempotent, not done, not being handed over and no larger than
// maxHandoverSize.
func (r *registry) transferable() []*Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*Record
	for _, rec := range r.records {
		rec.mu.Lock()
		ok := rec.accepted && rec.idempotent && !rec.done && len(rec.Call.Body)+len(rec.text) <= maxHandoverSize &&
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

// markEnded counts a request as no longer in flight. The record is deleted if
// the request was never accepted, and otherwise retained for callers that
// reconnect. When the retained records exceed their size limit, the oldest ones
// are deleted; the newest one is always retained.
func (r *registry) markEnded(rec *Record) {
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
	r.retained = append(r.retained, retainedRecord{rec.ID, size})
	r.retainedBytes += size
	for r.retainedBytes > r.maxRetainedBytes && len(r.retained) > 1 {
		delete(r.records, r.retained[0].id)
		r.retainedBytes -= r.retained[0].size
		r.retained = r.retained[1:]
	}
}

// inFlight returns the number of requests in flight and a channel that is
// closed once there are none.
func (r *registry) inFlight() (int, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active, r.idle
}

// expire deletes records that ended before the given time, and records of other
// entries' requests whose deadline was before it.
func (r *registry) expire(before time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, rec := range r.records {
		rec.mu.Lock()
		old := rec.done && rec.ended.Before(before) || rec.expiredElsewhere(before)
		rec.mu.Unlock()
		if !old {
			continue
		}
		if rec.storedAsCopy {
			r.copyBytes -= len(rec.Call.Body)
		}
		delete(r.records, id)
	}
	r.retained = slices.DeleteFunc(r.retained, func(k retainedRecord) bool {
		if r.records[k.id] != nil {
			return false
		}
		r.retainedBytes -= k.size
		return true
	})
}
