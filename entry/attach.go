package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/tmaxmax/go-sse"

	"jaylink/decision/handover"
	"jaylink/decision/reason"
	"jaylink/peer/peerpb"
	"jaylink/upstream"
)

const (
	requestsPath = "/v1/requests/"
	// attachRetryAfter is the Retry-After delay if the owner of a request
	// can't be reached.
	attachRetryAfter = time.Second
	// relayTimeout bounds the search for a lost owner, counted from the
	// last text that was received.
	relayTimeout = 30 * time.Second
)

// movedEventType is the type of the event that ends a stream whose request
// continues at another entry.
var movedEventType = sse.Type("moved")

// Moved is the data of the event that tells a caller where its answer
// continues.
type Moved struct {
	// Location is the URL at which to resume, with Last-Event-ID set to
	// Offset. The same path works at any other entry.
	Location string `json:"location"`
	// Offset is the number of bytes of the answer that were sent.
	Offset int `json:"offset"`
}

func location(rec *Record, v view) string {
	return "http://" + v.owner.GetCallerAddress() + requestsPath + rec.ID
}

func movedEvent(rec *Record, v view, offset int) *sse.Message {
	// Marshaling a struct of a string and a number never fails.
	data, _ := json.Marshal(Moved{Location: location(rec, v), Offset: offset})
	m := &sse.Message{Type: movedEventType, ID: sse.ID(strconv.Itoa(offset))}
	m.AppendData(string(data))
	return m
}

// writeMoved redirects a caller that does not stream its answer to the new
// owner of the request.
func writeMoved(w http.ResponseWriter, rec *Record, v view) {
	w.Header().Set("Location", location(rec, v))
	w.WriteHeader(http.StatusSeeOther)
}

// handleReattach returns the answer of a request that was accepted earlier, by
// this entry or another one.
func (e *Entry) handleReattach(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	w.Header().Set(HeaderRequestID, id)
	accepting, ok := acceptingEntry(id)
	if !ok {
		e.refuseEarly(w, id, problemOf(reason.BadRequest, "not a request ID"))
		return
	}
	rec, p := e.attach(r.Context(), id, accepting)
	if p != nil {
		e.refuseEarly(w, id, p)
		return
	}
	v, _ := rec.read(0)
	if customer, ok := e.customerOf(r); !ok || customer != v.customer {
		e.refuseEarly(w, id, attachProblem(reason.WrongCustomer, ""))
		return
	}
	offset, err := lastEventOffset(r)
	if err != nil || v.done && offset > v.total {
		e.refuseEarly(w, id, attachProblem(reason.BadRequest, "Last-Event-ID is not an offset in this answer"))
		return
	}
	e.sendAnswer(w, r, rec, offset)
}

// attachProblem returns the response body for a refusal to return a request's
// answer. The refusal does not tell whether the request ran.
func attachProblem(code reason.Reason, detail string) *Problem {
	p := problemOf(code, detail)
	p.Ran = reason.RanUnknown
	return p
}

// attach returns the record of a request: the local one, or one that follows
// the request on another entry until ctx is done.
func (e *Entry) attach(ctx context.Context, id, accepting string) (*Record, *Problem) {
	rec := e.records.get(id)
	if rec != nil {
		if v, _ := rec.read(0); !v.moved() {
			return rec, nil
		}
	}
	found, allReplied := e.locate(id, accepting)
	switch {
	case found != nil:
		rec := newRelayRecord(id, found)
		e.work.Go(func() { e.relay(ctx, rec, found.entry, accepting) })
		return rec, nil
	case allReplied:
		return nil, attachProblem(reason.UnknownRequest, "no entry has such a request")
	}
	p := attachProblem(reason.OwnerUnreachable, "an entry that may have the request can't be reached")
	p.RetryAfter = attachRetryAfter
	return nil, p
}

// preferredTo reports whether l is a better source than o. The higher epoch
// wins; in the same epoch, an owner is better than a holder, and a holder is
// better than an entry that only knows where the request moved.
func (l *requestLocation) preferredTo(o *requestLocation) bool {
	switch {
	case o == nil:
		return true
	case l.Epoch != o.Epoch:
		return l.Epoch > o.Epoch
	}
	return l.Role < o.Role
}

// locate asks the peers that may have a request and returns the best reply. The
// second result is false if a peer did not reply.
func (e *Entry) locate(id, accepting string) (*requestLocation, bool) {
	members, peers := e.livePeers()
	var mu sync.Mutex
	var best *requestLocation
	allReplied := true
	var calls sync.WaitGroup
	for _, p := range handover.Lookup(id, accepting, peers) {
		calls.Go(func() {
			l, err := e.find(members[p.Name], id)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				allReplied = false
			}
			if l != nil && l.preferredTo(best) {
				best = l
			}
		})
	}
	calls.Wait()
	return best, allReplied
}

// newRelayRecord returns a record for a request that another entry drives. The record
// is not added to the registry.
func newRelayRecord(id string, l *requestLocation) *Record {
	rec := newRecord(id, Call{Method: http.MethodGet}, time.Now())
	rec.ownership = ownership{role: peerpb.Role_ROLE_HOLDER, epoch: l.Epoch, owner: l.entry}
	rec.accepted = true
	rec.customer = l.Customer
	rec.service = l.Service
	if l.Completion {
		rec.Call.Completion = &upstream.Completion{Model: l.Model, Stream: l.Stream}
	}
	return rec
}

// relay follows a request from entry to entry until it ends or its caller
// disconnects. If following fails and no text has arrived for relayTimeout, the
// caller gets a problem.
func (e *Entry) relay(ctx context.Context, rec *Record, at *peerpb.Member, accepting string) {
	lastSeen := time.Now()
	for ctx.Err() == nil && e.background.Err() == nil {
		before, _ := rec.read(0)
		err := e.follow(ctx, rec, at, 0)
		after, _ := rec.read(0)
		if err == nil {
			return
		}
		if after.total > before.total {
			lastSeen = time.Now()
		}
		if time.Since(lastSeen) > relayTimeout {
			p := attachProblem(reason.OwnerUnreachable, "the request was lost sight of")
			p.RetryAfter = attachRetryAfter
			rec.finish(time.Now(), p)
			return
		}
		sleep(ctx, followRetryDelay)
		if found, _ := e.locate(rec.ID, accepting); found != nil {
			at = found.entry
		}
	}
}
