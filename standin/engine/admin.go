package engine

import (
	"net/http"
	"time"

	"jaylink/standin"
	"jaylink/upstream"
)

// maxLoadSamples bounds the load samples kept; half of them are dropped when it
// is exceeded.
const maxLoadSamples = 4096

// recordLoad appends a sample of the current load. The caller must hold s.mu.
func (s *Server) recordLoad() {
	report := upstream.LoadReport{Running: s.running, Queued: s.queued}
	s.loadSamples = append(s.loadSamples, loadSample{at: time.Now(), report: report})
	if len(s.loadSamples) > maxLoadSamples {
		s.loadSamples = s.loadSamples[len(s.loadSamples)-maxLoadSamples/2:]
	}
}

// load sends the load report as it was LoadLag ago.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-s.opts.LoadLag)
	var report upstream.LoadReport
	for _, h := range s.loadSamples {
		if h.at.After(at) {
			break
		}
		report = h.report
	}
	report.Leaving = s.faults.Leaving
	report.UptimeMS = max(time.Since(s.startedAt).Milliseconds(), 1)
	standin.WriteJSON(w, http.StatusOK, report)
}

func (s *Server) listRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, s.runs)
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	standin.HandlePut(w, r, func(f Faults) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults = f
	})
}

// prefixCache holds prompts in the order in which they were added.
type prefixCache struct {
	limit   int // tokens
	size    int
	prompts []string
}

// lookup returns the number of tokens in the longest cached prefix of the prompt.
func (p *prefixCache) lookup(prompt string) int {
	best := 0
	for _, cached := range p.prompts {
		n := commonPrefix(prompt, cached)
		best = max(best, CountTokens(prompt[:n]))
	}
	return best
}

func commonPrefix(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// add caches a prompt and evicts the oldest prompts while the limit is exceeded.
func (p *prefixCache) add(prompt string) {
	p.prompts = append(p.prompts, prompt)
	p.size += CountTokens(prompt)
	for p.size > p.limit && len(p.prompts) > 0 {
		p.size -= CountTokens(p.prompts[0])
		p.prompts = p.prompts[1:]
	}
}
