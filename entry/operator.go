package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"jaylink/api"
	"jaylink/operator"
)

// maxOperatorBody bounds a request to the operator port in bytes.
const maxOperatorBody = 16 << 20

// operatorHandler serves the operator commands.
func (e *Entry) operatorHandler() http.Handler {
	r := mux.NewRouter()
	v1 := r.PathPrefix("/v1").Subrouter()
	v1.HandleFunc("/apply", e.handleApply).Methods(http.MethodPost)
	v1.HandleFunc("/objects", e.handleList).Methods(http.MethodGet)
	v1.HandleFunc("/objects/{kind}", e.handleList).Methods(http.MethodGet)
	v1.HandleFunc("/objects/{kind}/{name}", e.handleGet).Methods(http.MethodGet)
	v1.HandleFunc("/objects/{kind}/{name}", e.handleDelete).Methods(http.MethodDelete)
	v1.HandleFunc("/objects/{kind}/{name}/labels", e.handleLabel).Methods(http.MethodPost)
	v1.HandleFunc("/status", e.handleStatus).Methods(http.MethodGet)
	v1.HandleFunc("/metrics", e.handleMetrics).Methods(http.MethodGet)
	return r
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

// readBody decodes a bounded JSON body and answers 400 if that fails.
func readBody(w http.ResponseWriter, r *http.Request, out any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOperatorBody)).Decode(out)
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
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
	var req operator.ApplyRequest
	if !readBody(w, r, &req) {
		return
	}
	reply := e.applyObjects(r.Context(), req)
	status := http.StatusOK
	for _, res := range reply.Results {
		status = max(status, applyStatus[res.Status])
	}
	if status == http.StatusOK {
		writeJSON(w, status, reply)
		return
	}
	// The client reads the reply of a partly failed apply like any other.
	w.Header().Set("Jaylink-Apply-Status", strconv.Itoa(status))
	writeJSON(w, http.StatusOK, reply)
}

// applyStatus ranks the outcomes; the highest is the outcome of the whole.
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
	writeJSON(w, http.StatusOK, s)
}

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
