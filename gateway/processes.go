package gateway

import (
	"sync"

	"jaylink/serving"
)

// process is an upstream's process to which a request is sent.
type process struct {
	listed serving.Upstream
	// started is the upstream with the start time of the process, as far as it is known.
	started serving.Upstream
	service *serving.Service
}

// processStarts holds the start times that upstreams have stated themselves. Where such an
// upstream is listed with an earlier one, it was started again and the list does not know yet.
type processStarts struct {
	mu sync.Mutex
	// stated holds the latest statement by the ID of the upstream.
	stated map[string]statedStart
}

// statedStart is the start time that an upstream stated while it was listed as an instance.
type statedStart struct {
	instance    uint64
	startMillis int64
}

// learn records that an upstream has stated its start time.
func (s *processStarts) learn(listed serving.Upstream, startMillis int64) {
	if listed.StartMillis == 0 || startMillis == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if startMillis == listed.StartMillis {
		delete(s.stated, listed.ID)
		return
	}
	s.stated[listed.ID] = statedStart{listed.Instance(), startMillis}
}

// current returns an upstream with the start time that its process stated last.
func (s *processStarts) current(listed serving.Upstream) serving.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.stated[listed.ID]; ok && known.instance == listed.Instance() {
		listed.StartMillis = known.startMillis
	}
	return listed
}

// retain forgets the upstreams that are not listed any more.
func (s *processStarts) retain(listed map[string]serving.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, known := range s.stated {
		if u, ok := listed[id]; !ok || u.Instance() != known.instance {
			delete(s.stated, id)
		}
	}
}
