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
	// attachRetryAfter is when to ask again for a request whose owner could
	// not be reached.
	attachRetryAfter = time.Second
	// relayTimeout is how long an owner that was lost is looked for.
	relayTimeout = 30 * time.Second
)

// movedType is the type of the event that ends a stream whose request goes on
// at another entry.
var movedType = sse.Type("moved")

// Moved is the data of the event that tells a caller where its answer goes on.
type Moved struct {
	// Location is where to read on, with Last-Event-ID set to Offset. Any
	// other entry answers the same path as well.
	Location string `json:"location"`
	// Offset is the size of the part of the answer that was sent, in bytes.
	Offset int `json:"offset"`
}

func location(rec *Record, v view) string {
	return "http://" + v.owner.GetCallerAddress() + requestsPath + rec.ID
}

func movedEvent(rec *Record, v view, offset int) *sse.Message {
	// Marshaling a struct of a string and a number can't fail.
	data, _ := json.Marshal(Moved{Location: location(rec, v), Offset: offset})
	m := &sse.Message{Type: movedType, ID: sse.ID(strconv.Itoa(offset))}
	m.AppendData(string(data))
	return m
}

// writeMoved sends the caller of a plain answer to the new owner.
func writeMoved(w http.ResponseWriter, rec *Record, v view) {
	w.Header().Set("Location", location(rec, v))
	w.WriteHeader(http.StatusSeeOther)
}

// reattach gives a caller the answer of a request that was accepted before, by
// this entry or any other.
func (e *Entry) reattach(w http.ResponseWriter, r *http.Request) {
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
	e.answer(w, r, rec, offset)
}

// attachProblem refuses to say anything about a request; whether it ran is not
// known from that.
func attachProblem(why reason.Reason, detail string) *Problem {
	p := problemOf(why, detail)
	p.Ran = reason.RanUnknown
	return p
}

// attach returns the record of a request: the one that is here, or one that
// follows the request on another entry for as long as ctx lasts.
func (e *Entry) attach(ctx context.Context, id, accepting string) (*Record, *Problem) {
	rec := e.records.get(id)
	if rec != nil {
		if v, _ := rec.read(0); !v.moved() {
			return rec, nil
		}
	}
	found, complete := e.locate(id, accepting)
	switch {
	case found != nil:
		rec := newRelay(id, found)
		e.work.Go(func() { e.relay(ctx, rec, found.at, accepting) })
		return rec, nil
	case complete:
		return nil, attachProblem(reason.UnknownRequest, "no entry has such a request")
	}
	p := attachProblem(reason.OwnerUnreachable, "an entry that may have the request can't be reached")
	p.RetryAfter = attachRetryAfter
	return nil, p
}

// better prefers the higher epoch, then an owner to a holder to an entry that
// only knows where the request went.
func (l *located) better(o *located) bool {
	switch {
	case o == nil:
		return true
	case l.Epoch != o.Epoch:
		return l.Epoch > o.Epoch
	}
	return l.Role < o.Role
}

// locate asks the peers that may have a request. The second result is false if
// one of them did not answer.
func (e *Entry) locate(id, accepting string) (*located, bool) {
	members, peers := e.knownPeers()
	var mu sync.Mutex
	var best *located
	complete := true
	var calls sync.WaitGroup
	for _, p := range handover.Lookup(id, accepting, peers) {
		calls.Go(func() {
			l, err := e.find(members[p.Name], id)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				complete = false
			}
			if l != nil && l.better(best) {
				best = l
			}
		})
	}
	calls.Wait()
	return best, complete
}

// newRelay returns a record for a request that another entry drives. It is not
// in the registry.
func newRelay(id string, l *located) *Record {
	rec := newRecord(id, Call{Method: http.MethodGet}, time.Now())
	rec.ownership = ownership{role: peerpb.Role_ROLE_HOLDER, epoch: l.Epoch, owner: l.at}
	rec.accepted = true
	rec.customer = l.Customer
	rec.service = l.Service
	if l.Completion {
		rec.Call.Completion = &upstream.Completion{Model: l.Model, Stream: l.Stream}
	}
	return rec
}

// relay follows a request from entry to entry until it ends or its caller has
// gone. A caller whose request can't be found for a time gets a problem.
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
		sleep(ctx, followPause)
		if found, _ := e.locate(rec.ID, accepting); found != nil {
			at = found.at
		}
	}
}
