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

// signStore holds the signs, from all observers, that upstream hosts are leaving.
// It reports leaving upstreams to the decision core and new signs to peers.
type signStore struct {
	mu  sync.Mutex
	set *sign.Set
	// leaving is the leaving state by upstream that was last reported to the
	// decision core.
	leaving map[string]bool

	log *slog.Logger
	// decisions records the changes of the leaving state.
	decisions *decisionLog
	catalog   func() *api.Catalog
	// step passes an event to the decision core.
	step func(decision.Event)
	// onReclaimNotice handles a reclaim notice, received here or by a peer. It
	// must not block.
	onReclaimNotice func(host string, deadline time.Time)
	// broadcast sends signs to peers.
	broadcast func([]*peerpb.Sign)
}

func newSignStore(observer string, log *slog.Logger, decisions *decisionLog) *signStore {
	// Start at the current time, so that the signs of a later process of the
	// same name have higher sequence numbers.
	sequence := uint64(time.Now().UnixNano())
	return &signStore{set: sign.NewSet(observer, sequence), leaving: map[string]bool{}, log: log, decisions: decisions}
}

// configChanged passes a new configuration to the decision core, with those of
// its upstreams that are known to be leaving.
func (s *signStore) configChanged(c *api.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	clear(s.leaving)
	var names []string
	for _, o := range c.Upstreams() {
		if s.set.Leaving(now, hostName(o)) {
			s.leaving[o.Name] = true
			names = append(names, o.Name)
		}
	}
	s.step(decision.ConfigEvent{Catalog: c, Leaving: names})
}

// updateLeaving reports changes of the leaving state of upstreams to the decision
// core. The caller must hold s.mu.
func (s *signStore) updateLeaving(now time.Time) {
	for _, o := range s.catalog().Upstreams() {
		leaving := s.set.Leaving(now, hostName(o))
		if leaving == s.leaving[o.Name] {
			continue
		}
		s.leaving[o.Name] = leaving
		s.recordChange(now, o, leaving)
		s.step(decision.LeavingEvent{Upstream: o.Name, Leaving: leaving})
	}
}

// recordChange records and logs a change of an upstream's leaving state with the
// signs that count now.
func (s *signStore) recordChange(now time.Time, o *api.Object, leaving bool) {
	kind := operator.DecisionReturned
	if leaving {
		kind = operator.DecisionLeaving
	}
	reasons := strings.Join(formatSigns(s.set.Active(now, hostName(o))), "; ")
	s.decisions.add(operator.Decision{At: now, Kind: kind, Upstream: o.Name, Detail: reasons})
	s.log.Info("upstream leaving", "upstream", o.Name, "leaving", leaving, "signs", reasons)
}

// formatSigns returns a text for each sign with its source, observer and
// deadline.
func formatSigns(signs []sign.Signal) []string {
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

// explain returns the unexpired signs as text, by upstream.
func (s *signStore) explain() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	out := map[string][]string{}
	for _, o := range s.catalog().Upstreams() {
		if texts := formatSigns(s.set.Active(now, hostName(o))); texts != nil {
			out[o.Name] = texts
		}
	}
	return out
}

// update runs a function on the set, updates the leaving states and sends the
// signs that the function returns to peers.
func (s *signStore) update(f func(now time.Time) []sign.Signal) {
	s.mu.Lock()
	now := time.Now()
	fresh := f(now)
	s.updateLeaving(now)
	s.mu.Unlock()
	if len(fresh) > 0 {
		s.broadcast(signsToProto(fresh))
	}
}

// observeHostList observes the state of each host in the host list. A host of a
// configured upstream that is missing from the list counts as leaving, like any
// host that is not live.
func (s *signStore) observeHostList(states map[string]hosting.HostState) {
	hosts := map[string]bool{}
	for host := range states {
		hosts[host] = true
	}
	for _, o := range s.catalog().Upstreams() {
		hosts[hostName(o)] = true
	}
	s.update(func(now time.Time) []sign.Signal {
		var fresh []sign.Signal
		for host := range hosts {
			if sg, tell := s.set.Observe(now, host, sign.HostList, states[host] != hosting.HostLive); tell {
				fresh = append(fresh, sg)
			}
		}
		return fresh
	})
}

// observeReport observes the leaving state that a host reports about itself.
func (s *signStore) observeReport(host string, leaving bool) {
	s.update(func(now time.Time) []sign.Signal {
		if sg, tell := s.set.Observe(now, host, sign.Report, leaving); tell {
			return []sign.Signal{sg}
		}
		return nil
	})
}

// observeNotice observes a reclaim notice. The host may not be configured yet.
func (s *signStore) observeNotice(host string, deadline time.Time) {
	s.update(func(now time.Time) []sign.Signal {
		if sg, tell := s.set.ObserveNotice(now, host, deadline); tell {
			return []sign.Signal{sg}
		}
		return nil
	})
	s.onReclaimNotice(host, deadline)
}

// expire drops the signs that have expired.
func (s *signStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.set.Expire(now)
	s.updateLeaving(now)
}

// All implements peer.Signs.
func (s *signStore) All() []*peerpb.Sign {
	s.mu.Lock()
	defer s.mu.Unlock()
	return signsToProto(s.set.All(time.Now()))
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
		if s.set.Merge(now, signFromProto(pb)) {
			fresh = append(fresh, pb)
		}
	}
	if len(fresh) > 0 {
		s.updateLeaving(now)
	}
	for _, pb := range fresh {
		if sg := signFromProto(pb); sg.Source == sign.Notice && sg.Leaving {
			s.onReclaimNotice(sg.Host, sg.Deadline)
		}
	}
	return fresh
}

func signFromProto(pb *peerpb.Sign) sign.Signal {
	sg := sign.Signal{
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

func signsToProto(signs []sign.Signal) []*peerpb.Sign {
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
