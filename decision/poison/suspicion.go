package poison

import "time"

// Suspicions holds the upstreams whose connections broke under requests, until a
// look at the upstream tells whether it crashed. It is not safe for concurrent use.
type Suspicions struct {
	open map[string]*suspicion
}

// suspicion is what broke at one moment on one upstream.
type suspicion struct {
	at       time.Time
	requests []uint64
	looked   bool
	crashed  bool
}

// NewSuspicions returns an empty Suspicions.
func NewSuspicions() *Suspicions { return &Suspicions{open: map[string]*suspicion{}} }

// Broke notes that a connection to an upstream broke under a request. The caller
// looks at the upstream if look is set, and reports by Looked. If the look has
// already shown a crash, the request took part in it, and crashed is set.
func (s *Suspicions) Broke(now time.Time, upstream string, fingerprint uint64) (look, crashed bool) {
	s.expire(now)
	known := s.open[upstream]
	if known == nil {
		s.open[upstream] = &suspicion{at: now, requests: []uint64{fingerprint}}
		return true, false
	}
	if known.looked {
		return false, known.crashed
	}
	if len(known.requests) < maxShared {
		known.requests = append(known.requests, fingerprint)
	}
	return false, false
}

// Looked takes the result of a look and returns the crashes that it has shown, one
// for each request.
func (s *Suspicions) Looked(upstream string, crashed bool) []Crash {
	known := s.open[upstream]
	if known == nil || known.looked {
		return nil
	}
	known.looked, known.crashed = true, crashed
	if !crashed {
		return nil
	}
	out := make([]Crash, 0, len(known.requests))
	for _, f := range known.requests {
		out = append(out, Crash{Fingerprint: f, Upstream: upstream, At: known.at})
	}
	return out
}

// expire forgets what was looked at, once a further break is another event.
func (s *Suspicions) expire(now time.Time) {
	for upstream, known := range s.open {
		if known.looked && now.Sub(known.at) >= sameCrash {
			delete(s.open, upstream)
		}
	}
}
