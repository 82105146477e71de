package poison

import "time"

// CrashSuspicions holds the upstreams whose connections broke while requests ran,
// until a probe of the upstream shows whether it crashed. It is not safe for
// concurrent use.
type CrashSuspicions struct {
	byUpstream map[string]*suspectedCrash
}

// suspectedCrash holds the requests whose connections to one upstream broke at
// about the same time, and the result of the probe.
type suspectedCrash struct {
	at time.Time
	// last is when the latest of its connections broke.
	last     time.Time
	requests []Crash
	probed   bool
	crashed  bool
	// alive is set once the process is known to have outlived the broken connections.
	alive bool
	// answered is set once the upstream has answered a request that was sent later.
	answered bool
	// earlier is set if connections broke before, the probe did not tell why, and the upstream
	// has answered nothing since: it may have been down all the time.
	earlier *suspectedCrash
}

// NewCrashSuspicions returns an empty CrashSuspicions.
func NewCrashSuspicions() *CrashSuspicions {
	return &CrashSuspicions{byUpstream: map[string]*suspectedCrash{}}
}

// ConnectionBroken records that a connection to an upstream broke while a request ran. If
// probe is set, the caller probes the upstream and reports the result to
// ProbeFinished. If an earlier probe has already shown a crash, the request was
// involved in it and crashed is set. A request that was sent after the first of the connections
// broke is not: it found the upstream down. The crash has the request, the upstream and the
// current time.
func (s *CrashSuspicions) ConnectionBroken(c Crash) (probe, crashed bool) {
	s.expire(c.At)
	suspect := s.byUpstream[c.Upstream]
	if suspect == nil || suspect.probed && (suspect.alive || c.At.Sub(suspect.at) >= crashMergeWindow) {
		next := &suspectedCrash{at: c.At, last: c.At, requests: []Crash{c}}
		if suspect != nil && !suspect.crashed && !suspect.answered && !suspect.alive {
			next.earlier = suspect
		}
		s.byUpstream[c.Upstream] = next
		return true, false
	}
	if c.Sent.After(suspect.at) {
		return false, false
	}
	if suspect.probed {
		return false, suspect.crashed
	}
	suspect.last = c.At
	if len(suspect.requests) < maxCrashRequests {
		suspect.requests = append(suspect.requests, c)
	}
	return false, false
}

// ProbeFinished records the result of a probe and returns the crashes that it shows,
// one per request.
func (s *CrashSuspicions) ProbeFinished(upstream string, crashed bool) []Crash {
	suspect := s.byUpstream[upstream]
	if suspect == nil || suspect.probed {
		return nil
	}
	suspect.probed = true
	switch {
	case crashed && suspect.earlier != nil:
		return append(suspect.earlier.confirm(), suspect.confirm()...)
	case crashed:
		return suspect.confirm()
	case suspect.earlier != nil:
		// What is sent to an upstream that is down ends nothing.
		s.byUpstream[upstream] = suspect.earlier
	}
	return nil
}

// Alive records that the process of an upstream has stated, when asked at a time, that it still
// runs, and that it has run since another time. The connections that broke between them did not
// break in a crash.
func (s *CrashSuspicions) Alive(upstream string, since, asked time.Time) {
	suspect := s.byUpstream[upstream]
	if suspect == nil || suspect.crashed || suspect.last.After(asked) || suspect.at.Before(since) {
		return
	}
	suspect.alive = true
	if suspect.earlier != nil && !suspect.earlier.at.Before(since) {
		suspect.earlier = nil
	}
}

// Answered records that an upstream has answered a request that was sent at a time.
func (s *CrashSuspicions) Answered(upstream string, sent time.Time) {
	suspect := s.byUpstream[upstream]
	if suspect == nil {
		return
	}
	suspect.answered = suspect.answered || sent.After(suspect.at)
	if suspect.earlier != nil && sent.After(suspect.earlier.at) {
		suspect.earlier = nil
	}
}

// confirm marks the upstream as crashed and returns a crash for each request.
func (s *suspectedCrash) confirm() []Crash {
	s.crashed = true
	out := make([]Crash, 0, len(s.requests))
	for _, c := range s.requests {
		c.At = s.at
		out = append(out, c)
	}
	return out
}

// Restarted records that an upstream is another process than before without having been
// shut down. If connections to it broke shortly before, it has crashed even if the probe
// found it running again. Restarted returns the crashes that were not known yet.
func (s *CrashSuspicions) Restarted(now time.Time, upstream string) []Crash {
	suspect := s.byUpstream[upstream]
	if suspect == nil || !suspect.probed || suspect.crashed || suspect.alive || now.Sub(suspect.at) >= RestartNoticeTime {
		return nil
	}
	return suspect.confirm()
}

// RestartNoticeTime is how long after its connections broke an upstream may turn out to be
// a new process.
const RestartNoticeTime = 10 * time.Second

// expire drops upstreams that can't be noticed to have crashed any more.
func (s *CrashSuspicions) expire(now time.Time) {
	for upstream, suspect := range s.byUpstream {
		if suspect.probed && now.Sub(suspect.at) >= RestartNoticeTime {
			delete(s.byUpstream, upstream)
		}
	}
}
