package engine

import (
	"net/http"
	"time"

	"jaylink/standin"
	"jaylink/upstream"
)

// maxHistory bounds the kept load samples.
const maxHistory = 4096

// note records the load; the caller holds the lock.
func (s *Server) note() {
	report := upstream.LoadReport{Running: s.running, Queued: s.queued}
	s.history = append(s.history, sample{at: time.Now(), report: report})
	if len(s.history) > maxHistory {
		s.history = s.history[len(s.history)-maxHistory/2:]
	}
}

// load answers with the report as it was LoadLag ago.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-s.opts.LoadLag)
	var report upstream.LoadReport
	for _, h := range s.history {
		if h.at.After(at) {
			break
		}
		report = h.report
	}
	report.Leaving = s.faults.Leaving
	report.UptimeMS = max(time.Since(s.began).Milliseconds(), 1)
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
	standin.Set(w, r, func(f Faults) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults = f
	})
}

// prefixCache remembers prompts in the order of their last use.
type prefixCache struct {
	limit   int // tokens
	size    int
	prompts []string
}

// lookup returns how many tokens of the prompt are cached.
func (p *prefixCache) lookup(prompt string) int {
	best := 0
	for _, known := range p.prompts {
		n := commonPrefix(prompt, known)
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

// add remembers a prompt and drops the oldest ones over the limit.
func (p *prefixCache) add(prompt string) {
	p.prompts = append(p.prompts, prompt)
	p.size += CountTokens(prompt)
	for p.size > p.limit && len(p.prompts) > 0 {
		p.size -= CountTokens(p.prompts[0])
		p.prompts = p.prompts[1:]
	}
}
