package hosting

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/gorilla/mux"

	"jaylink/hosting"
	"jaylink/standin"
)

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	list := hosting.HostList{Hosts: slices.Clone(s.hosts)}
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, list)
}

func (s *Server) setHosts(w http.ResponseWriter, r *http.Request) {
	var list hosting.HostList
	if !standin.ReadJSON(w, r, &list) {
		return
	}
	s.mu.Lock()
	s.hosts = list.Hosts
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, list)
}

func (s *Server) listNotices(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "after: want a sequence number")
		return
	}
	s.longPoll(w, r, func() (any, bool, <-chan struct{}) {
		list, changed := s.noticesAfter(after)
		return list, len(list.Items) > 0, changed
	})
}

func (s *Server) noticesAfter(after uint64) (hosting.NoticeList, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := hosting.NoticeList{Sequence: uint64(len(s.notices)), Items: []hosting.Notice{}}
	if after < uint64(len(s.notices)) {
		list.Items = slices.Clone(s.notices[after:])
	}
	return list, s.noticeAdded
}

func (s *Server) addNotice(w http.ResponseWriter, r *http.Request) {
	var n hosting.Notice
	if !standin.ReadJSON(w, r, &n) {
		return
	}
	s.mu.Lock()
	n.Sequence = uint64(len(s.notices)) + 1
	s.notices = append(s.notices, n)
	close(s.noticeAdded)
	s.noticeAdded = make(chan struct{})
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, n)
}

func (s *Server) orderHost(w http.ResponseWriter, r *http.Request) {
	var order hosting.HostOrder
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.RefuseHosts {
		standin.WriteError(w, http.StatusTooManyRequests, "no capacity in "+order.AvailabilityZone)
		return
	}
	for _, h := range s.hosts {
		if h.Name == order.Name {
			standin.WriteJSON(w, http.StatusOK, h)
			return
		}
	}
	host := hosting.Host{Name: order.Name, Role: "upstream", AvailabilityZone: order.AvailabilityZone, State: hosting.HostLive}
	s.hosts = append(s.hosts, host)
	standin.WriteJSON(w, http.StatusOK, host)
}

// weightSize is the reported size of every weight set in bytes.
const weightSize = 1 << 30

func (s *Server) loadWeights(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	s.mu.Lock()
	s.weights[name]++
	refused := s.faults.RefuseWeights
	s.mu.Unlock()
	if refused {
		standin.WriteError(w, http.StatusTooManyRequests, "the rate of the weight store is used up")
		return
	}
	standin.WriteJSON(w, http.StatusOK, hosting.WeightSet{Name: name, Size: weightSize})
}

func (s *Server) listCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, s.calls)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, s.faults)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	standin.HandlePut(w, r, func(f Faults) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults = f
		close(s.faultsChanged)
		s.faultsChanged = make(chan struct{})
	})
}
