package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"jaylink/decision/reason"
	"jaylink/peer/peerpb"
	"jaylink/upstream"
)

// toCopy returns the record with its answer so far as a protobuf message.
// Headers that are meant for jaylink itself are left out, so that no credential
// leaves the entry.
func (r *Record) toCopy(self *peerpb.Member) *peerpb.RequestCopy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &peerpb.RequestCopy{
		Id:             r.ID,
		Epoch:          r.ownership.epoch,
		Owner:          self,
		Holders:        r.ownership.holders,
		Method:         r.Call.Method,
		Uri:            r.Call.URI,
		Header:         toHeaderFields(forwardHeader(r.Call.Header)),
		Body:           r.Call.Body,
		Completion:     r.Call.Completion != nil,
		Labels:         r.Labels,
		Service:        r.service,
		Customer:       r.customer,
		Fingerprint:    r.Fingerprint,
		DeadlineNs:     r.deadline.UnixNano(),
		FailedAttempts: uint32(max(r.attempt.id.number-1, 0)),
		Text:           r.text,
		Tokens:         uint32(r.tokens),
	}
}

// fromCopy returns a new record that holds a copy received from a peer.
func fromCopy(c *peerpb.RequestCopy, now time.Time) (*Record, error) {
	if _, ok := acceptingEntry(c.GetId()); !ok || c.GetOwner().GetName() == "" {
		return nil, errors.New("a copy needs a request ID and an owner")
	}
	call := Call{Method: c.Method, URI: c.Uri, Header: fromHeaderFields(c.Header), Body: c.Body}
	if c.Completion {
		call.Completion = &upstream.Completion{}
		if err := json.Unmarshal(c.Body, call.Completion); err != nil {
			return nil, err
		}
	}
	rec := newRecord(c.Id, call, now)
	rec.Labels = c.Labels
	rec.Fingerprint = c.Fingerprint
	rec.service = c.Service
	rec.customer = c.Customer
	rec.idempotent = true
	rec.accepted = true
	rec.deadline = time.Unix(0, c.DeadlineNs)
	rec.text = c.Text
	rec.tokens = int(c.Tokens)
	rec.ownership = ownership{role: peerpb.Role_ROLE_HOLDER, epoch: c.Epoch, owner: c.Owner, holders: c.Holders}
	return rec, nil
}

func toHeaderFields(h http.Header) []*peerpb.HeaderField {
	var out []*peerpb.HeaderField
	for name, values := range h {
		out = append(out, &peerpb.HeaderField{Name: name, Values: values})
	}
	return out
}

func fromHeaderFields(fields []*peerpb.HeaderField) http.Header {
	h := http.Header{}
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}
	return h
}

func toServiceAnswer(a *upstream.Answer) *peerpb.ServiceAnswer {
	if a == nil {
		return nil
	}
	return &peerpb.ServiceAnswer{Status: int32(a.Status), Header: toHeaderFields(a.Header), Body: a.Body}
}

func fromServiceAnswer(a *peerpb.ServiceAnswer) *upstream.Answer {
	if a == nil {
		return nil
	}
	return &upstream.Answer{Status: int(a.Status), Header: fromHeaderFields(a.Header), Body: a.Body}
}

func toRefusal(p *Problem) *peerpb.Refusal {
	if p == nil {
		return nil
	}
	return &peerpb.Refusal{
		Reason: string(p.Reason), Ran: string(p.Ran), Detail: p.Detail, RetryAfterNs: uint64(p.RetryAfter),
	}
}

func fromRefusal(r *peerpb.Refusal) *Problem {
	if r == nil {
		return nil
	}
	p := problemOf(reason.Reason(r.Reason), r.Detail)
	p.Ran = reason.Ran(r.Ran)
	p.RetryAfter = time.Duration(r.RetryAfterNs)
	return p
}
