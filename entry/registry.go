package entry

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
	"sync"
	"time"
)

// registry holds the records of the entry, the ended ones for a while.
type registry struct {
	mu      sync.Mutex
	records map[string]*Record
	active  int
	idle    chan struct{} // closed while no request is in flight
}

func newRegistry() *registry {
	r := &registry{records: map[string]*Record{}, idle: make(chan struct{})}
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
	r.active++
	if r.active == 1 {
		r.idle = make(chan struct{})
	}
}

func (r *registry) get(id string) *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records[id]
}

// ended counts a record as no longer in flight.
func (r *registry) ended() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	if r.active == 0 {
		close(r.idle)
	}
}

// inFlight returns the number of requests in flight and a channel that is
// closed once there are none.
func (r *registry) inFlight() (int, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active, r.idle
}

// forget drops records that ended before a time.
func (r *registry) forget(before time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, rec := range r.records {
		rec.mu.Lock()
		old := rec.done && rec.ended.Before(before)
		rec.mu.Unlock()
		if old {
			delete(r.records, id)
		}
	}
}
