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

// metricsPath is the path of the metrics in text format, for scrapers.
const metricsPath = "/metrics"

// operatorHandler returns the handler of the operator port.
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
	// The status line has been sent, so an error can't be reported any more;
	// the client sees a truncated body.
	_ = json.NewEncoder(w).Encode(v)
}

func writeFailure(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, operator.Failure{Error: err.Error()})
}

// readBody decodes a JSON body of bounded size and rejects unknown fields. If
// that fails, it writes a response with status 400, 408 or 413 and returns false.
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

// pathKey returns the key of the object that a path names. If the kind does not
// exist, it writes a response with status 404 and returns false.
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

// logWrite logs a change of an object with the name of the operator.
func (e *Entry) logWrite(r *http.Request, message string, key api.Key, version uint64) {
	e.log.Info(message, "object", key.String(), "version", version, "operator", operatorName(r))
}

// applyStatus has the HTTP status for each failed result. The highest one is the
// status of the whole response.
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

// maxRecentDecisions bounds the decisions in the response to a status request.
const maxRecentDecisions = 10

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
		Recent:           e.decisions.recent(maxRecentDecisions),
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

// handleChanges returns the changes after a revision without waiting for any. A
// client that follows the changes polls.
func (e *Entry) handleChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeFailure(w, http.StatusBadRequest, errors.New("after: want a revision"))
		return
	}
	writeJSON(w, http.StatusOK, e.config.changesSince(after))
}

// changesSince returns the objects that have changed after a revision, deletions
// included.
func (s *configStore) changesSince(after uint64) operator.ChangeList {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := operator.ChangeList{Revision: s.state.Revision(), Objects: []*api.Object{}}
	list.Objects = append(list.Objects, s.state.Since(after).Objects...)
	return list
}

// handleDrain starts a graceful shutdown of the process, as SIGTERM does.
func (e *Entry) handleDrain(w http.ResponseWriter, r *http.Request) {
	e.log.Info("drain requested by operator", "operator", operatorName(r))
	writeJSON(w, http.StatusOK, struct{}{})
	e.drainOnce.Do(func() { close(e.drainRequested) })
}

// DrainRequested returns a channel that is closed when an operator requests a
// drain.
func (e *Entry) DrainRequested() <-chan struct{} { return e.drainRequested }

// upstreamStatus returns the state of all upstreams in the decision core.
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
