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
