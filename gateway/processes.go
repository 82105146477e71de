package gateway

import (
	"slices"
	"sync"
	"time"

	"jaylink/serving"
)

// process is an upstream's process to which a request is sent.
type process struct {
	listed serving.Upstream
	// started is the upstream with the start time of the process, as far as it is known.
	started serving.Upstream
	service *serving.Service
	// sent is when the request was sent: connections that are older are to this process.
	sent time.Time
}

// maxStarts limits the start times that are remembered of an upstream.
const maxStarts = 8

// processStarts holds the start times of the processes of each upstream, the latest one last. An
// upstream may be listed with an earlier one: the list does not know of its restart yet, or the
// store has been restored.
type processStarts struct {
	mu sync.Mutex
	// byPlace has them by the ID and the address of the upstream.
	byPlace map[place][]int64
	// listed has those that were ever in the upstream list.
	listed map[place][]int64
}

func newProcessStarts() *processStarts {
	return &processStarts{byPlace: map[place][]int64{}, listed: map[place][]int64{}}
}

// place is where an upstream is listed.
type place struct{ id, address string }

func placeOf(u serving.Upstream) place { return place{u.ID, u.Address} }

// learn records that an upstream has stated its start time. The clock of its host may have been
// set back, so that a later process may have started earlier.
func (s *processStarts) learn(u serving.Upstream, startMillis int64) {
	if u.StartMillis == 0 || startMillis == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	starts := s.byPlace[placeOf(u)]
	starts = slices.DeleteFunc(starts, func(start int64) bool { return start == startMillis })
	s.byPlace[placeOf(u)] = latestStarts(starts, startMillis)
}

// current returns an upstream with the start time of its latest process.
func (s *processStarts) current(listed serving.Upstream) serving.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if starts := s.byPlace[placeOf(listed)]; listed.StartMillis != 0 && len(starts) > 0 {
		listed.StartMillis = starts[len(starts)-1]
	}
	return listed
}

// isEarlier reports whether an upstream is listed with the start time of an earlier process.
func (s *processStarts) isEarlier(listed serving.Upstream) bool {
	return s.current(listed).StartMillis != listed.StartMillis
}

// list records the start times in the upstream list and forgets the upstreams that are not listed
// any more. A start time that is known says nothing about the latest process.
func (s *processStarts) list(listed map[string]serving.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at := range s.byPlace {
		if u, ok := listed[at.id]; !ok || u.Address != at.address {
			delete(s.byPlace, at)
			delete(s.listed, at)
		}
	}
	for _, u := range listed {
		if u.StartMillis == 0 {
			continue
		}
		at := placeOf(u)
		if starts := s.byPlace[at]; !slices.Contains(starts, u.StartMillis) {
			s.byPlace[at] = latestStarts(starts, u.StartMillis)
		}
		if starts := s.listed[at]; !slices.Contains(starts, u.StartMillis) {
			s.listed[at] = latestStarts(starts, u.StartMillis)
		}
	}
}

// latestStarts returns the start times that are remembered with a further one.
func latestStarts(starts []int64, startMillis int64) []int64 {
	starts = append(starts, startMillis)
	return starts[max(len(starts)-maxStarts, 0):]
}

// wasListed reports whether an upstream is or was in the upstream list with its start time.
func (s *processStarts) wasListed(u serving.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.listed[placeOf(u)], u.StartMillis)
}
