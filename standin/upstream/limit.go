package upstream

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// The platform's rule on limits: from the contact time after an upstream first named
// one, in any limitWindow it may get limitFactor times what the limit allows and
// limitExtra requests in addition. Entries are counted from tellTime after an answer
// with the limit on.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	tellTime    = 500 * time.Millisecond
)

// limitChange is a new limit in requests per second; nil means that there is none.
type limitChange struct {
	at        time.Time
	perSecond *float64
}

// naming is an answer that stated a limit.
type naming struct {
	at        time.Time
	requestID string
}

// SetLimit makes the upstream state a limit, in requests per second, in its answers.
func (s *Server) SetLimit(perSecond float64) { s.changeLimit(&perSecond) }

// ClearLimit makes the upstream state no limit.
func (s *Server) ClearLimit() { s.changeLimit(nil) }

func (s *Server) changeLimit(perSecond *float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = append(s.limits, limitChange{time.Now(), perSecond})
}

// limitHeader returns the header that states the limit in the answer to a request, and
// records it. The caller does not hold mu.
func (s *Server) limitHeader(requestID string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.limits) == 0 || s.limits[len(s.limits)-1].perSecond == nil {
		return ""
	}
	s.named = append(s.named, naming{time.Now(), requestID})
	return "Server-Limit: " + strconv.FormatFloat(*s.limits[len(s.limits)-1].perSecond, 'g', -1, 64) + "\r\n"
}

// LimitExcess is a window in which an upstream got more requests than its limit allows.
type LimitExcess struct {
	Limit       float64
	From        time.Time
	Got         int
	Allowed     float64
	firstNaming time.Time
}

func (e LimitExcess) String() string {
	return fmt.Sprintf("limit of %g a second: %d requests in %s from %s after it was first named; allowed %.1f", e.Limit, e.Got, limitWindow, e.From.Sub(e.firstNaming).Round(time.Millisecond), e.Allowed)
}

// CheckLimits returns, for each period in which the upstream named limits without a
// break, the window with the most requests beyond what the platform allows. contact is
// the platform's bound contact-ms. entryOf returns the entry that sent a request, by the
// request's ID. excused reports whether an entry was disturbed between two times: a
// request counts if its entry was undisturbed for the contact time and since it was last
// told the limit. It may be nil.
func (s *Server) CheckLimits(contact time.Duration, entryOf func(requestID string) string, excused func(entry string, from, to time.Time) bool) []LimitExcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []LimitExcess
	for i := 0; i < len(s.limits); {
		if s.limits[i].perSecond == nil {
			i++
			continue
		}
		end := i
		for end < len(s.limits) && s.limits[end].perSecond != nil {
			end++
		}
		if worst := s.worstWindow(s.limits[i:end], s.periodEnd(end), contact, entryOf, excused); worst.Got > 0 {
			out = append(out, worst)
		}
		i = end
	}
	return out
}

// periodEnd returns when the change at an index ends a period with limits: the time of
// that change, or now if there is none.
func (s *Server) periodEnd(index int) time.Time {
	if index < len(s.limits) {
		return s.limits[index].at
	}
	return time.Now()
}

// worstWindow returns the window of a period with the largest excess, or the zero value.
// The limit of a window is the highest one in force in it or within contact before it.
func (s *Server) worstWindow(limits []limitChange, end time.Time, contact time.Duration, entryOf func(string) string, excused func(string, time.Time, time.Time) bool) LimitExcess {
	first, told := s.tellingTimes(limits[0].at, end, entryOf)
	var counted []time.Time
	for _, a := range s.arrivals {
		entry := entryOf(a.RequestID)
		last, ok := latestBefore(told[entry], a.At.Add(-tellTime))
		if !ok || a.At.Before(first.Add(contact)) || !a.At.Before(end) {
			continue
		}
		if since := a.At.Add(-contact); since.Before(last) {
			last = since
		}
		if excused == nil || !excused(entry, last, a.At) {
			counted = append(counted, a.At)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	var worst LimitExcess
	for i, from := range counted {
		n := i
		for n < len(counted) && counted[n].Sub(from) < limitWindow {
			n++
		}
		limit := highestLimit(limits, from.Add(-contact), from.Add(limitWindow))
		allowed := limitFactor*limit*limitWindow.Seconds() + limitExtra
		if got := n - i; float64(got) > allowed && float64(got)-allowed > float64(worst.Got)-worst.Allowed {
			worst = LimitExcess{Limit: limit, From: from, Got: got, Allowed: allowed, firstNaming: first}
		}
	}
	return worst
}

// latestBefore returns the latest of the times in ascending order that is not after a
// limit, and false if there is none.
func latestBefore(times []time.Time, limit time.Time) (time.Time, bool) {
	n, _ := slices.BinarySearchFunc(times, limit, func(t, limit time.Time) int {
		if t.After(limit) {
			return 1
		}
		return -1
	})
	if n == 0 {
		return time.Time{}, false
	}
	return times[n-1], true
}

// tellingTimes returns when a limit was first named between two times, and when it was
// named to each entry.
func (s *Server) tellingTimes(from, to time.Time, entryOf func(string) string) (first time.Time, told map[string][]time.Time) {
	told = map[string][]time.Time{}
	for _, n := range s.named {
		if n.at.Before(from) || !n.at.Before(to) {
			continue
		}
		if first.IsZero() {
			first = n.at
		}
		entry := entryOf(n.requestID)
		told[entry] = append(told[entry], n.at)
	}
	return first, told
}

// highestLimit returns the highest limit in force between two times.
func highestLimit(limits []limitChange, from, to time.Time) float64 {
	highest := 0.0
	for i, l := range limits {
		ended := i+1 < len(limits) && limits[i+1].at.Before(from)
		if !ended && l.at.Before(to) {
			highest = max(highest, *l.perSecond)
		}
	}
	return highest
}
