package engine

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"jaylink/standin"
	"jaylink/upstream"
)

// setRunText records the prompt and the answer so far of a run.
func (s *Server) setRunText(run *Run, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.textByRun[run.RequestID] = text
}

// cacheFinishedRun adds the text of a run that ended, complete or not, to the
// prefix cache.
func (s *Server) cacheFinishedRun(run *Run, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.textByRun, run.RequestID)
	s.cache.add(text)
}

// exportedKV represents the KV cache of a request by its text.
type exportedKV struct {
	Text string `json:"text"`
}

func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	text, ok := s.textByRun[r.URL.Query().Get("request_id")]
	refuse := s.faults.RefuseKV
	s.mu.Unlock()
	switch {
	case refuse:
		standin.WriteError(w, http.StatusServiceUnavailable, "cache transfers are refused")
	case !ok:
		standin.WriteError(w, http.StatusNotFound, "no such request")
	default:
		standin.WriteJSON(w, http.StatusOK, exportedKV{Text: text})
	}
}

// importKV fetches the KV cache of a request from another engine.
func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var order upstream.CacheImport
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	if s.currentFaults().RefuseKV {
		standin.WriteError(w, http.StatusServiceUnavailable, "cache transfers are refused")
		return
	}
	resp, err := http.Get("http://" + order.From + "/kv?request_id=" + url.QueryEscape(order.RequestID))
	if err != nil {
		standin.WriteError(w, http.StatusBadGateway, "the source can't be reached")
		return
	}
	defer resp.Body.Close()
	var kv exportedKV
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&kv) != nil {
		standin.WriteError(w, http.StatusBadGateway, "the source has no such cache")
		return
	}
	if !sleep(r, time.Duration(CountTokens(kv.Text))*s.opts.KVPerToken) {
		return
	}
	s.mu.Lock()
	s.cache.add(kv.Text)
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}
