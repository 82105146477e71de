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
	// prefixBytes is the length of the prompt prefix that is hashed for
	// locality-aware routing.
	prefixBytes = 256
)

// callerHandler returns the handler for callers and for the health checks of the load
// balancer.
func (e *Entry) callerHandler() http.Handler {
	r := mux.NewRouter()
	r.SkipClean(true)
	r.HandleFunc("/healthz/live", e.handleLive).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/healthz/ready", e.handleReady).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/healthz/leaving", e.handleLeaving).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/v1/requests/{id}", e.handleReattach).Methods(http.MethodGet)
	r.PathPrefix("/healthz/").HandlerFunc(e.handleUnknownPath)
	r.PathPrefix("/v1/requests/").HandlerFunc(e.handleUnknownPath)
	r.PathPrefix("/").HandlerFunc(e.handleCall)
	r.NotFoundHandler = http.HandlerFunc(e.handleInvalidTarget)
	return e.limitWriteTime(e.limitHeader(r))
}

// headerOverhead is the number of separator bytes in one header line.
const headerOverhead = len(": \r\n")

// limitHeader refuses requests whose request line and headers exceed
// limits.header. If they exceed it by more than headerReadMargin, the HTTP
// server itself refuses the request, with the same status but without a problem
// body.
func (e *Entry) limitHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if headerSize(r) <= int(e.settings.Limits.Header) {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		e.refuseUnread(w, problemOf(reason.HeaderTooLarge, "at most "+e.settings.Limits.Header.String()+" are allowed"))
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

// refuseUnread assigns an ID to a request and refuses it without reading it.
func (e *Entry) refuseUnread(w http.ResponseWriter, p *Problem) {
	id := newRequestID(e.settings.Name)
	w.Header().Set(HeaderRequestID, id)
	e.refuseEarly(w, id, p)
}

// handleUnknownPath refuses requests under jaylink's own path prefixes that
// match no route, or match one with another method.
func (e *Entry) handleUnknownPath(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		e.refuseUnread(w, problemOf(reason.UnknownRequest, "no such path"))
		return
	}
	w.Header().Set("Allow", http.MethodGet)
	e.refuseUnread(w, problemOf(reason.WrongMethod, r.Method+" is not allowed here"))
}

// handleInvalidTarget refuses requests whose target is not a path, such as
// CONNECT requests.
func (e *Entry) handleInvalidTarget(w http.ResponseWriter, _ *http.Request) {
	e.refuseUnread(w, problemOf(reason.BadRequest, "the target of the request is not a path"))
}

// handleCall accepts a new request, passes it to the decision core and writes
// the answer.
func (e *Entry) handleCall(w http.ResponseWriter, r *http.Request) {
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
	// A caller that half-closes its connection still gets its answer. The
	// half-close ends the request's context, so the entry's context
	// replaces it from here on.
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
	sendEarlyID(w, r, rec)
	e.sendAnswer(w, r, rec, 0)
}

// HeaderEarlyID is set to "true" by callers that want to receive the request ID
// before the answer.
const HeaderEarlyID = "Jaylink-Early-Id"

// sendEarlyID sends the ID of an accepted request in an informational response
// (status 103) if the caller asked for it. With the ID, the caller can resume
// reading at another entry if this one fails.
func sendEarlyID(w http.ResponseWriter, r *http.Request, rec *Record) {
	if r.Header.Get(HeaderEarlyID) != "true" {
		return
	}
	if v, _ := rec.read(0); v.accepted && !v.done {
		w.WriteHeader(http.StatusEarlyHints)
	}
}

// refuseEarly refuses a request that did not reach the decision core.
func (e *Entry) refuseEarly(w http.ResponseWriter, id string, p *Problem) {
	e.metrics.countRefusal(p.Reason)
	e.decisions.add(operator.Decision{Kind: operator.DecisionRefused, RequestID: id, Reason: p.Reason, Ran: p.Ran})
	e.log.Info("request refused", "request_id", id, "reason", p.Reason, "ran", p.Ran)
	p.write(w)
}

// readCall reads the body within its limits and decodes it if the request is a
// completion.
func (e *Entry) readCall(w http.ResponseWriter, r *http.Request) (Call, *Problem) {
	if err := checkHeaders(r.Header); err != nil {
		return Call{}, problemOf(reason.BadRequest, err.Error())
	}
	call := Call{Method: r.Method, URI: r.URL.RequestURI(), Header: r.Header, Key: r.Header.Get(upstream.HeaderIdempotencyKey)}
	body, err := e.readLimited(w, r, e.settings.Limits.Body)
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

// sendAnswer writes the answer of a record to a caller. Streams start at the
// given offset of the text; other answers are always complete.
func (e *Entry) sendAnswer(w http.ResponseWriter, r *http.Request, rec *Record, offset int) {
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

// writeBody writes a body with its length, so that callers can detect a
// truncated body. The status line is sent with the first byte, so only the
// caller notices a failed write.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	if len(body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func writeCompletion(w http.ResponseWriter, rec *Record, v view) {
	w.Header().Set("Content-Type", "application/json")
	// Marshaling strings and numbers never fails.
	body, _ := json.Marshal(upstream.Chunk{
		ID:      rec.ID,
		Object:  "text_completion",
		Model:   rec.Call.Completion.Model,
		Choices: []upstream.Choice{{Text: string(v.text), FinishReason: v.finishReason}},
		Usage:   &upstream.Usage{CompletionTokens: v.tokens},
	})
	writeBody(w, http.StatusOK, body)
}

// handleLive reports that the process is running. It does so until the process
// exits.
func (e *Entry) handleLive(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "live\n")
}

// handleLeaving reports whether the entry is draining.
func (e *Entry) handleLeaving(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() {
		_, _ = io.WriteString(w, "leaving\n")
		return
	}
	http.Error(w, "staying", http.StatusNotFound)
}

// handleReady tells the load balancer whether to send new requests to this
// entry.
func (e *Entry) handleReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !e.config.Known():
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}
