package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"jaylink/api"
	"jaylink/internal/metricstext"
	"jaylink/operator"
)

// metricsPath is where scrapers read the metrics.
const metricsPath = "/metrics"

// operatorHandler serves the operator commands.
func (e *Entry) operatorHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/apply", e.handleApply).Methods(http.MethodPost)
	r.HandleFunc("/v1/objects", e.handleList).Methods(http.MethodGet)
	r.HandleFunc("/v1/objects/{kind}", e.handleList).Methods(http.MethodGet)
	r.HandleFunc("/v1/objects/{kind}/{name}", e.handleGet).Methods(http.MethodGet)
	r.HandleFunc("/v1/objects/{kind}/{name}", e.handleDelete).Methods(http.MethodDelete)
	r.HandleFunc("/v1/objects/{kind}/{name}/labels", e.handleLabel).Methods(http.MethodPost)
	r.HandleFunc("/v1/status", e.handleStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/decisions", e.handleDecisions).Methods(http.MethodGet)
	r.HandleFunc("/v1/usage", e.handleUsage).Methods(http.MethodGet)
	r.HandleFunc("/v1/changes", e.handleChanges).Methods(http.MethodGet)
	r.HandleFunc("/v1/drain", e.handleDrain).Methods(http.MethodPost)
	r.HandleFunc("/v1/metrics", e.handleMetrics).Methods(http.MethodGet)
	r.HandleFunc(metricsPath, metricstext.Handler(e.metrics.registry)).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeFailure(w, http.StatusNotFound, fmt.Errorf("no such path: %.200q", r.URL.Path))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeFailure(w, http.StatusMethodNotAllowed, fmt.Errorf("%.20s is not allowed on %.200q", r.Method, r.URL.Path))
	})
	return e.authenticate(r)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status line is out; a failed write shows on the caller's side.
	_ = json.NewEncoder(w).Encode(v)
}

func writeFailure(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, operator.Failure{Error: err.Error()})
}

// readBody decodes a bounded JSON body, without unknown fields, and answers
// 400 or 413 if that fails.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, out any) bool {
	data, err := e.readLimited(w, r, e.settings.Limits.OperatorBody)
	if err == nil {
		err = api.DecodeStrict(data, out)
	}
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		w.Header().Set("Connection", "close")
		status = http.StatusRequestTimeout
	}
	writeFailure(w, status, err)
	return false
}

// pathKey reads the object that a path names and answers 404 for a kind that
// does not exist.
func pathKey(w http.ResponseWriter, r *http.Request) (api.Key, bool) {
	v := mux.Vars(r)
	key := api.Key{Kind: api.Kind(v["kind"]), Name: v["name"]}
	if !slices.Contains(api.ConfigKinds, key.Kind) {
		writeFailure(w, http.StatusNotFound, api.UnknownKindError{Kind: key.Kind})
		return key, false
	}
	return key, true
}

func (e *Entry) handleApply(w http.ResponseWriter, r *http.Request) {
	var raw struct {
		DryRun  bool              `json:"dry_run"`
		Objects []json.RawMessage `json:"objects"`
	}
	if !e.readBody(w, r, &raw) {
		return
	}
	req := operator.ApplyRequest{DryRun: raw.DryRun}
	for i, data := range raw.Objects {
		o, err := api.DecodeJSON(data)
		if err != nil {
			writeFailure(w, http.StatusBadRequest, fmt.Errorf("objects[%d]: %w", i, err))
			return
		}
		o.Operator = operatorName(r)
		req.Objects = append(req.Objects, o)
	}
	reply := e.applyObjects(r.Context(), req)
	status := http.StatusOK
	for _, res := range reply.Results {
		status = max(status, applyStatus[res.Status])
		if res.Status == operator.StatusAccepted {
			e.logWrite(r, "object written", res.Key, res.Version)
		}
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(outageRetryAfter.Seconds())))
	}
	writeJSON(w, status, reply)
}

// logWrite says in the log who changed what.
func (e *Entry) logWrite(r *http.Request, message string, key api.Key, version uint64) {
	e.log.Info(message, "object", key.String(), "version", version, "operator", operatorName(r))
}

// applyStatus ranks the outcomes; the highest is the status of the whole.
var applyStatus = map[operator.Status]int{
	operator.StatusInvalid:  http.StatusUnprocessableEntity,
	operator.StatusConflict: http.StatusConflict,
	operator.StatusUnknown:  http.StatusServiceUnavailable,
}

func (e *Entry) handleList(w http.ResponseWriter, r *http.Request) {
	kind := api.Kind(mux.Vars(r)["kind"])
	if kind != "" && !slices.Contains(api.ConfigKinds, kind) {
		writeFailure(w, http.StatusNotFound, api.UnknownKindError{Kind: kind})
		return
	}
	list := slices.DeleteFunc(e.config.objects(), func(o *api.Object) bool { return kind != "" && o.Kind != kind })
	if list == nil {
		list = []*api.Object{}
	}
	writeJSON(w, http.StatusOK, list)
}

func (e *Entry) handleGet(w http.ResponseWriter, r *http.Request) {
	key, ok := pathKey(w, r)
	if !ok {
		return
	}
	o := e.config.get(key)
	if o == nil {
		writeFailure(w, http.StatusNotFound, errors.New("no such object: "+key.String()))
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (e *Entry) handleDecisions(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	q := operator.DecisionQuery{RequestID: query.Get("request_id"), Upstream: query.Get("upstream")}
	if text := query.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 0 {
			writeFailure(w, http.StatusBadRequest, fmt.Errorf("limit: %.20q is not a number of 0 or more", text))
			return
		}
		q.Limit = limit
	}
	writeJSON(w, http.StatusOK, e.decisions.list(q))
}

// maxRecent bounds the decisions that status shows.
const maxRecent = 10

func (e *Entry) handleStatus(w http.ResponseWriter, r *http.Request) {
	e.peers.Survey(r.Context())
	inFlight, _ := e.records.inFlight()
	s := operator.FleetStatus{
		Entry:            e.settings.Name,
		AvailabilityZone: e.settings.AvailabilityZone,
		Region:           e.settings.Region,
		Leaving:          e.leaving.Load(),
		ConfigRevision:   e.config.Revision(),
		InFlight:         inFlight,
		Peers:            []operator.PeerStatus{},
		Recent:           e.decisions.recent(maxRecent),
		Upstreams:        e.driver.upstreamStatus(time.Now()),
	}
	for _, m := range e.peers.Live() {
		s.Peers = append(s.Peers, operator.PeerStatus{
			Name:             m.Name,
			AvailabilityZone: m.AvailabilityZone,
			Leaving:          m.Leaving,
			ConfigRevision:   m.ConfigRevision,
		})
	}
	s.Zones = operator.SummarizeZones(s)
	signs := e.signs.explain()
	for i := range s.Upstreams {
		s.Upstreams[i].Signs = signs[s.Upstreams[i].Name]
	}
	writeJSON(w, http.StatusOK, s)
}

// handleChanges answers at once; a follower asks again.
func (e *Entry) handleChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeFailure(w, http.StatusBadRequest, errors.New("after: want a revision"))
		return
	}
	writeJSON(w, http.StatusOK, e.config.since(after))
}

// since returns the objects that changed after a revision.
func (s *configStore) since(after uint64) operator.ChangeList {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := operator.ChangeList{Revision: s.state.Revision(), Objects: []*api.Object{}}
	list.Objects = append(list.Objects, s.state.Since(after).Objects...)
	return list
}

// handleDrain makes the process stop gracefully, as at SIGTERM.
func (e *Entry) handleDrain(w http.ResponseWriter, r *http.Request) {
	e.log.Info("entry was told to leave", "operator", operatorName(r))
	writeJSON(w, http.StatusOK, struct{}{})
	e.drainOnce.Do(func() { close(e.drainRequested) })
}

// LeaveRequested is closed once an operator has told the entry to leave.
func (e *Entry) LeaveRequested() <-chan struct{} { return e.drainRequested }

// upstreamStatus describes the upstreams as the core sees them.
func (d *driver) upstreamStatus(now time.Time) []operator.UpstreamStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []operator.UpstreamStatus{}
	for _, name := range d.core.Table().Names() {
		u := d.core.Table().Get(name)
		out = append(out, operator.UpstreamStatus{
			Name:             u.Name,
			AvailabilityZone: u.Spec.AvailabilityZone,
			Leaving:          u.Leaving,
			Suspect:          now.Before(u.SuspectUntil),
			InFlight:         u.InFlight,
			Busy:             u.Busy(),
			Slots:            u.Slots(),
		})
	}
	return out
}

func (e *Entry) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(e.metrics.registry, w)
}
