package entry

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"jaylink/api"
	"jaylink/decision"
	"jaylink/decision/sign"
	"jaylink/hosting"
	"jaylink/operator"
	"jaylink/peer/peerpb"
)

// signStore holds the signs that upstream hosts are leaving, and tells the
// decision core and the peers what they amount to.
type signStore struct {
	mu  sync.Mutex
	set *sign.Set
	// leaving has the upstreams that are leaving now.
	leaving map[string]bool

	log *slog.Logger
	// decisions keeps what was decided, for explanations.
	decisions *decisionRecord
	catalog   func() *api.Catalog
	// step passes an event to the decision core.
	step func(decision.Event)
	// reclaimed takes a reclaim notice, seen here or by a peer. It must not
	// block.
	reclaimed func(host string, deadline time.Time)
	// tell spreads signs to peers.
	tell func([]*peerpb.Sign)
}

func newSignStore(observer string, log *slog.Logger, decisions *decisionRecord) *signStore {
	// A later process of the same name numbers its signs higher.
	sequence := uint64(time.Now().UnixNano())
	return &signStore{set: sign.NewSet(observer, sequence), leaving: map[string]bool{}, log: log, decisions: decisions}
}

// configChanged puts another configuration in force, with the signs that are
// known of its upstreams already.
func (s *signStore) configChanged(c *api.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	clear(s.leaving)
	var names []string
	for _, o := range c.Upstreams() {
		if s.set.Leaving(now, hostOf(o)) {
			s.leaving[o.Name] = true
			names = append(names, o.Name)
		}
	}
	s.step(decision.ConfigEvent{Catalog: c, Leaving: names})
}

// refresh tells the core which upstreams began or ceased to be leaving. The
// caller holds the lock.
func (s *signStore) refresh(now time.Time) {
	for _, o := range s.catalog().Upstreams() {
		leaving := s.set.Leaving(now, hostOf(o))
		if leaving == s.leaving[o.Name] {
			continue
		}
		s.leaving[o.Name] = leaving
		s.note(now, o, leaving)
		s.step(decision.LeavingEvent{Upstream: o.Name, Leaving: leaving})
	}
}

// note records that an upstream began or ceased to be leaving, and why.
func (s *signStore) note(now time.Time, o *api.Object, leaving bool) {
	kind := operator.DecisionBack
	if leaving {
		kind = operator.DecisionLeaving
	}
	because := strings.Join(signTexts(s.set.Holding(now, hostOf(o))), "; ")
	s.decisions.add(operator.Decision{At: now, Kind: kind, Upstream: o.Name, Detail: because})
	s.log.Info("upstream leaving", "upstream", o.Name, "leaving", leaving, "signs", because)
}

// signTexts says who saw what.
func signTexts(signs []sign.Sign) []string {
	var out []string
	for _, sg := range signs {
		text := string(sg.Source) + " seen by " + sg.Observer
		if !sg.Deadline.IsZero() {
			text += ", host ends at " + sg.Deadline.UTC().Format(time.RFC3339)
		}
		out = append(out, text)
	}
	return out
}

// explain returns the signs that count now, by upstream.
func (s *signStore) explain() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	out := map[string][]string{}
	for _, o := range s.catalog().Upstreams() {
		if texts := signTexts(s.set.Holding(now, hostOf(o))); texts != nil {
			out[o.Name] = texts
		}
	}
	return out
}

// observe changes the set and spreads the signs that peers must be told.
func (s *signStore) observe(f func(now time.Time) []sign.Sign) {
	s.mu.Lock()
	now := time.Now()
	fresh := f(now)
	s.refresh(now)
	s.mu.Unlock()
	if len(fresh) > 0 {
		s.tell(signsProto(fresh))
	}
}

// hostList takes the host list: a host that is not live gets no new work.
func (s *signStore) hostList(states map[string]hosting.HostState) {
	hosts := map[string]bool{}
	for host := range states {
		hosts[host] = true
	}
	for _, o := range s.catalog().Upstreams() {
		hosts[hostOf(o)] = true
	}
	s.observe(func(now time.Time) []sign.Sign {
		var fresh []sign.Sign
		for host := range hosts {
			if sg, tell := s.set.Observe(now, host, sign.HostList, states[host] != hosting.HostLive); tell {
				fresh = append(fresh, sg)
			}
		}
		return fresh
	})
}

// report takes what a host says about itself.
func (s *signStore) report(host string, leaving bool) {
	s.observe(func(now time.Time) []sign.Sign {
		if sg, tell := s.set.Observe(now, host, sign.Report, leaving); tell {
			return []sign.Sign{sg}
		}
		return nil
	})
}

// notice takes a reclaim notice, of a host that may not be known yet.
func (s *signStore) notice(host string, deadline time.Time) {
	s.observe(func(now time.Time) []sign.Sign {
		if sg, tell := s.set.ObserveNotice(now, host, deadline); tell {
			return []sign.Sign{sg}
		}
		return nil
	})
	s.reclaimed(host, deadline)
}

// expire drops the signs that have lapsed.
func (s *signStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.set.Expire(now)
	s.refresh(now)
}

// All implements peer.Signs.
func (s *signStore) All() []*peerpb.Sign {
	s.mu.Lock()
	defer s.mu.Unlock()
	return signsProto(s.set.All(time.Now()))
}

// Digest implements peer.Signs.
func (s *signStore) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Digest(time.Now())
}

// Merge implements peer.Signs.
func (s *signStore) Merge(signs []*peerpb.Sign) []*peerpb.Sign {
	if len(signs) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var fresh []*peerpb.Sign
	for _, pb := range signs {
		if s.set.Merge(now, signOf(pb)) {
			fresh = append(fresh, pb)
		}
	}
	if len(fresh) > 0 {
		s.refresh(now)
	}
	for _, pb := range fresh {
		if sg := signOf(pb); sg.Source == sign.Notice && sg.Leaving {
			s.reclaimed(sg.Host, sg.Deadline)
		}
	}
	return fresh
}

func signOf(pb *peerpb.Sign) sign.Sign {
	sg := sign.Sign{
		Host:     pb.GetHost(),
		Source:   sign.Source(pb.GetSource()),
		Observer: pb.GetObserver(),
		Sequence: pb.GetSequence(),
		Leaving:  pb.GetLeaving(),
		ValidFor: time.Duration(pb.GetValidMs()) * time.Millisecond,
	}
	if pb.GetDeadlineMs() != 0 {
		sg.Deadline = time.UnixMilli(pb.GetDeadlineMs())
	}
	return sg
}

func signsProto(signs []sign.Sign) []*peerpb.Sign {
	out := make([]*peerpb.Sign, 0, len(signs))
	for _, sg := range signs {
		pb := &peerpb.Sign{
			Host:     sg.Host,
			Source:   string(sg.Source),
			Observer: sg.Observer,
			Sequence: sg.Sequence,
			Leaving:  sg.Leaving,
			ValidMs:  uint64(max(sg.ValidFor.Milliseconds(), 0)),
		}
		if !sg.Deadline.IsZero() {
			pb.DeadlineMs = sg.Deadline.UnixMilli()
		}
		out = append(out, pb)
	}
	return out
}
