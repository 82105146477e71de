package soak

import "time"

// lossSlack is the platform's bound loss-slack-ms: how long after a request was sent its
// connection may end without an answer, if the request was not passed on.
const lossSlack = 200 * time.Millisecond

// lost returns how a request was lost at an entry, or "". It was lost if it was sent whole and its
// connection ended without a complete answer, although it was passed on to an upstream or
// slack had passed.
func (v observation) lost(passedOn bool, slack time.Duration) string {
	waited := v.ended.Sub(v.sent)
	switch {
	case v.sent.IsZero() || v.gaveUp || v.complete || v.ended.Sub(v.started) >= callTimeout:
		return ""
	case passedOn:
		return "passed on to an upstream"
	case waited > slack:
		return "sent " + waited.Round(time.Millisecond).String() + " before"
	}
	return ""
}

// checkLost checks that no request was lost beside planned work alone. Nothing else may have
// happened in the run: then no upstream has broken off.
func checkLost(f *fleet, s seen, slack time.Duration, observations []observation, report func(string, ...any)) {
	passedOn := map[string]bool{}
	for _, a := range s.arrivals {
		passedOn[a.RequestID] = true
	}
	for _, v := range observations {
		if how := v.lost(passedOn[v.id], slack); how != "" {
			report("LOST: %s %s at %s, %s, ended after %v with status %d and no whole answer: %s",
				v.route, v.id, v.entry, how, v.ended.Sub(v.started).Round(time.Millisecond), v.status, f.plannedBefore(v))
		}
	}
}

// maxLostKept is the platform's bound of requests from kept connections that may be passed on to
// a sound upstream and not answered, by machines without disturbance.
const maxLostKept = 3

// lostKept reports whether a request was sent whole on a kept connection that was then closed
// without an answer.
func (v observation) lostKept() bool {
	return v.kept && v.status == 0 && !v.sent.IsZero() && !v.gaveUp && v.ended.Sub(v.started) < callTimeout
}

// checkKept checks that entries without disturbance did not close kept connections whose requests
// they had passed on to sound upstreams. It returns how many they did.
func checkKept(f *fleet, observations []observation, report func(string, ...any)) int {
	var lost []string
	for _, v := range observations {
		if !v.lostKept() || !f.calm(v.entry, v.started, v.ended) {
			continue
		}
		if at := f.soundUpstreamOf(v); at != "" {
			lost = append(lost, v.id+" at "+v.entry+", passed on to "+at)
		}
	}
	if len(lost) > maxLostKept {
		report("LOST: %d kept connections were closed without an answer: %q", len(lost), lost)
	}
	return len(lost)
}

// soundUpstreamOf returns an upstream that got a request and was without faults, or "".
func (f *fleet) soundUpstreamOf(v observation) string {
	for _, b := range f.all() {
		for _, a := range b.Arrivals() {
			if a.RequestID == v.id && b.proxy.disturbed.calm(a.At, v.ended) {
				return b.ID
			}
		}
	}
	return ""
}
