package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"jaylink/decision"
	"jaylink/decision/reason"
	"jaylink/upstream"
)

const (
	completionsPath = "/v1/completions"
	// prefixBytes is the part of a prompt that is hashed for locality.
	prefixBytes = 256
)

// callerHandler serves callers and the balancer's health checks.
func (e *Entry) callerHandler() http.Handler {
	r := mux.NewRouter()
	r.SkipClean(true)
	r.HandleFunc("/healthz/live", e.live).Methods(http.MethodGet)
	r.HandleFunc("/healthz/ready", e.ready).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{id}", e.reattach).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(e.call)
	return r
}

// call accepts a new request and gives its caller the answer.
func (e *Entry) call(w http.ResponseWriter, r *http.Request) {
	id := newRequestID(e.settings.Name)
	w.Header().Set(HeaderRequestID, id)
	call, p := e.readCall(w, r)
	if p != nil {
		e.refuseEarly(w, id, p)
		return
	}
	labels, err := requestLabels(r)
	if err != nil {
		e.refuseEarly(w, id, problemOf(reason.BadRequest, err.Error()))
		return
	}
	rec := newRecord(id, call, time.Now())
	rec.Fingerprint = fingerprint(call)
	rec.Labels = labels
	e.records.add(rec)
	e.driver.step(decision.RequestEvent{
		ID:          id,
		Labels:      labels,
		Key:         call.Key,
		Prefix:      promptPrefix(call.Completion),
		Fingerprint: rec.Fingerprint,
	})
	giveEarlyID(w, r, rec)
	e.answer(w, r, rec, 0)
}

// giveEarlyID tells the caller of an accepted request its ID before there is an
// answer, in an informational response (status 103), so that it can read on at
// another entry if this one is lost.
func giveEarlyID(w http.ResponseWriter, r *http.Request, rec *Record) {
	if v, _ := rec.read(0); v.accepted && !v.done && r.ProtoAtLeast(1, 1) {
		w.WriteHeader(http.StatusEarlyHints)
	}
}

// refuseEarly answers a request that never reached the decision core.
func (e *Entry) refuseEarly(w http.ResponseWriter, id string, p *Problem) {
	e.metrics.refusal(p.Reason)
	e.log.Info("request refused", "request_id", id, "reason", p.Reason, "ran", p.Ran)
	p.write(w)
}

// readCall reads a bounded body and, for completions, its form.
func (e *Entry) readCall(w http.ResponseWriter, r *http.Request) (Call, *Problem) {
	call := Call{Method: r.Method, URI: r.URL.RequestURI(), Header: r.Header, Key: r.Header.Get(upstream.HeaderKey)}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(e.settings.Limits.Body)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return call, problemOf(reason.BodyTooLarge, "at most "+e.settings.Limits.Body.String()+" are allowed")
	case err != nil:
		return call, problemOf(reason.BadRequest, "the body could not be read")
	}
	call.Body = body
	if r.URL.Path != completionsPath || r.Method != http.MethodPost {
		return call, nil
	}
	call.Completion = &upstream.Completion{}
	if err := json.Unmarshal(body, call.Completion); err != nil {
		return call, problemOf(reason.BadRequest, "invalid completion: "+err.Error())
	}
	return call, nil
}

func fingerprint(c Call) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.Method + "\x00" + c.URI + "\x00")
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

func promptPrefix(c *upstream.Completion) uint64 {
	if c == nil {
		return 0
	}
	return xxhash.Sum64String(c.Prompt[:min(len(c.Prompt), prefixBytes)])
}

// answer gives a caller the record's answer from an offset on.
func (e *Entry) answer(w http.ResponseWriter, r *http.Request, rec *Record, offset int) {
	if c := rec.Call.Completion; c != nil && c.Stream {
		e.stream(w, r, rec, offset)
		return
	}
	v, err := rec.wait(r.Context())
	switch {
	case err != nil:
		return
	case v.moved():
		writeMoved(w, rec, v)
	case v.problem != nil && v.answer != nil && v.problem.Reason == reason.NotRepeatable:
		writeAnswer(w, v.answer)
	case v.problem != nil:
		v.problem.write(w)
	case rec.Call.Completion != nil:
		writeCompletion(w, rec, v)
	default:
		writeAnswer(w, v.answer)
	}
}

func writeAnswer(w http.ResponseWriter, a *upstream.Answer) {
	for name, values := range a.Header {
		if !strings.EqualFold(name, HeaderRequestID) {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func writeCompletion(w http.ResponseWriter, rec *Record, v view) {
	w.Header().Set("Content-Type", "application/json")
	// The status line is out with the first byte; a failed write shows on
	// the caller's side.
	_ = json.NewEncoder(w).Encode(upstream.Chunk{
		ID:      rec.ID,
		Object:  "text_completion",
		Model:   rec.Call.Completion.Model,
		Choices: []upstream.Choice{{Text: string(v.text), FinishReason: "length"}},
		Usage:   &upstream.Usage{CompletionTokens: v.tokens},
	})
}

func (e *Entry) live(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// ready tells the balancer whether to send new requests here.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !e.config.known():
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}
