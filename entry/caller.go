package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"jaylink/decision"
	"jaylink/decision/reason"
	"jaylink/operator"
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
	r.HandleFunc("/healthz/live", e.live).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/healthz/ready", e.ready).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/healthz/leaving", e.leavingState).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/v1/requests/{id}", e.reattach).Methods(http.MethodGet)
	r.PathPrefix("/healthz/").HandlerFunc(e.refuseReserved)
	r.PathPrefix("/v1/requests/").HandlerFunc(e.refuseReserved)
	r.PathPrefix("/").HandlerFunc(e.call)
	r.NotFoundHandler = http.HandlerFunc(e.refuseTarget)
	return e.boundWrites(e.boundHeader(r))
}

// headerOverhead is the size of the separators of one header line in bytes.
const headerOverhead = len(": \r\n")

// boundHeader refuses requests whose target and headers are over the limit. A
// request that is over it by more than headerSlack is refused by the HTTP
// server itself, with the same status but without a problem body.
func (e *Entry) boundHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if headerSize(r) <= int(e.settings.Limits.Header) {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		e.refuseNew(w, problemOf(reason.HeaderTooLarge, "at most "+e.settings.Limits.Header.String()+" are allowed"))
	})
}

func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + headerOverhead
		}
	}
	return size
}

// refuseNew answers a request that gets an ID of its own but is not looked at.
func (e *Entry) refuseNew(w http.ResponseWriter, p *Problem) {
	id := newRequestID(e.settings.Name)
	w.Header().Set(HeaderRequestID, id)
	e.refuseEarly(w, id, p)
}

// refuseReserved answers calls of jaylink's own paths that do not exist or
// have another method.
func (e *Entry) refuseReserved(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		e.refuseNew(w, problemOf(reason.UnknownRequest, "no such path"))
		return
	}
	w.Header().Set("Allow", http.MethodGet)
	e.refuseNew(w, problemOf(reason.WrongMethod, r.Method+" is not allowed here"))
}

// refuseTarget answers requests whose target is not a path.
func (e *Entry) refuseTarget(w http.ResponseWriter, _ *http.Request) {
	e.refuseNew(w, problemOf(reason.BadRequest, "the target of the request is not a path"))
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
	// A caller that closes its sending side still gets its answer, so the
	// request's own context, which ends then, is not used from here on.
	r = r.WithContext(e.background)
	rec := newRecord(id, call, time.Now())
	rec.Fingerprint = fingerprint(call)
	rec.Labels = labels
	e.records.add(rec)
	e.driver.step(decision.RequestEvent{
		ID:           id,
		Labels:       labels,
		Key:          call.Key,
		NoCompletion: call.Completion == nil,
		Prefix:       promptPrefix(call.Completion),
		Fingerprint:  rec.Fingerprint,
	})
	giveEarlyID(w, r, rec)
	e.answer(w, r, rec, 0)
}

// HeaderEarlyID, set to "true" by a caller, asks for the request's ID before
// there is an answer.
const HeaderEarlyID = "Jaylink-Early-Id"

// giveEarlyID tells the caller of an accepted request its ID in an informational
// response (status 103) if it asks for that, so that it can read on at another
// entry if this one is lost.
func giveEarlyID(w http.ResponseWriter, r *http.Request, rec *Record) {
	if r.Header.Get(HeaderEarlyID) != "true" {
		return
	}
	if v, _ := rec.read(0); v.accepted && !v.done {
		w.WriteHeader(http.StatusEarlyHints)
	}
}

// refuseEarly answers a request that never reached the decision core.
func (e *Entry) refuseEarly(w http.ResponseWriter, id string, p *Problem) {
	e.metrics.refusal(p.Reason)
	e.decisions.add(operator.Decision{Kind: operator.DecisionRefused, RequestID: id, Reason: p.Reason, Ran: p.Ran})
	e.log.Info("request refused", "request_id", id, "reason", p.Reason, "ran", p.Ran)
	p.write(w)
}

// readCall reads a bounded body and, for completions, its form.
func (e *Entry) readCall(w http.ResponseWriter, r *http.Request) (Call, *Problem) {
	if err := checkHeaders(r.Header); err != nil {
		return Call{}, problemOf(reason.BadRequest, err.Error())
	}
	call := Call{Method: r.Method, URI: r.URL.RequestURI(), Header: r.Header, Key: r.Header.Get(upstream.HeaderKey)}
	body, err := e.readBounded(w, r, e.settings.Limits.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return call, problemOf(reason.BodyTooLarge, "at most "+e.settings.Limits.Body.String()+" are allowed")
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return call, problemOf(reason.BodyTooSlow, "at most "+e.settings.Timeouts.Body.String()+" are allowed")
	case err != nil:
		return call, problemOf(reason.BadRequest, "the body could not be read")
	}
	call.Body = body
	if r.URL.Path != completionsPath || r.Method != http.MethodPost {
		return call, nil
	}
	call.Completion = &upstream.Completion{}
	if !bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) {
		return call, problemOf(reason.BadRequest, "invalid completion: want a JSON object")
	}
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
	writeBody(w, a.Status, a.Body)
}

// writeBody writes a body with its length, so that every caller can tell a whole
// one from one that was cut off. The status line is out with the first byte; a
// failed write shows on the caller's side.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	if len(body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func writeCompletion(w http.ResponseWriter, rec *Record, v view) {
	w.Header().Set("Content-Type", "application/json")
	// Marshaling strings and numbers can't fail.
	body, _ := json.Marshal(upstream.Chunk{
		ID:      rec.ID,
		Object:  "text_completion",
		Model:   rec.Call.Completion.Model,
		Choices: []upstream.Choice{{Text: string(v.text), FinishReason: v.finish}},
		Usage:   &upstream.Usage{CompletionTokens: v.tokens},
	})
	writeBody(w, http.StatusOK, body)
}

// live says that the process works; it does so until the process ends.
func (e *Entry) live(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "live\n") }

// leavingState says whether the entry is on its way out.
func (e *Entry) leavingState(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() {
		_, _ = io.WriteString(w, "leaving\n")
		return
	}
	http.Error(w, "staying", http.StatusNotFound)
}

// ready tells the balancer whether to send new requests here.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !e.config.Known():
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}
