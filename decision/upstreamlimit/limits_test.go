package upstreamlimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requireRule checks every upstream of a model from the contact time after begun on.
func requireRule(t *testing.T, m *model, begun time.Time, limit float64) {
	t.Helper()
	for i, u := range m.upstreams {
		require.LessOrEqual(t, worstWindow(u.counted, begun.Add(contactTime)), allowed(limit), "upstream %d", i)
	}
}

// Load pattern: all upstreams of a service are limited far below what is asked for. The
// fleet keeps each limit and uses at least nine tenths of it, at every size.
func TestLimitsAreKeptAndUsedAtEverySize(t *testing.T) {
	for _, entries := range []int{1, 2, 8, 60, 295} {
		for _, limit := range []float64{0, 0.05, 0.4, 1, 3.9, 8, 50} {
			t.Run(fmt.Sprintf("%d_entries_limit_%g", entries, limit), func(t *testing.T) {
				t.Parallel()
				const upstreams = 3
				granted := max(limit, minRate)
				m := newModel(1, entries, upstreams, limit, max(4*granted*upstreams, 3*float64(entries)))
				begun := m.now
				m.run(8 * time.Second)
				settled := m.now
				span := 20 * time.Second
				m.run(span)
				requireRule(t, m, begun, limit)
				for i, u := range m.upstreams {
					got := float64(countSince(u.sends, settled))
					require.GreaterOrEqual(t, got, math.Floor(0.9*granted*span.Seconds())-1, "upstream %d", i)
				}
			})
		}
	}
}

// Load pattern: one entry gets most of the callers, then another one. Both the limit and
// its use must hold.
func TestLimitsFollowTheDemand(t *testing.T) {
	const limit, span = 10.0, 20 * time.Second
	m := newModel(2, 8, 2, limit, 0)
	begun := m.now
	for _, busy := range []int{1, 6} {
		for i, e := range m.entries {
			e.rate = 1
			if i == busy {
				e.rate = 60
			}
		}
		m.run(8 * time.Second)
		from := m.now
		m.run(span)
		for i, u := range m.upstreams {
			require.GreaterOrEqual(t, float64(countSince(u.sends, from)), 0.8*limit*span.Seconds(), "upstream %d", i)
		}
	}
	requireRule(t, m, begun, limit)
}

// Half of the entries are killed and restarted, others frozen or cut off for a while, in
// series and overlapping. What the entries that are not cut off send stays within the
// rule.
func TestLimitsHoldUnderFaults(t *testing.T) {
	for _, entries := range []int{8, 40, 295} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%d_entries_seed_%d", entries, seed), func(t *testing.T) {
				t.Parallel()
				limit := []float64{0.4, 1, 3.9, 8}[seed%4]
				m := newModel(seed, entries, 2, limit, max(60, 2*float64(entries)))
				begun := m.now
				m.run(4 * time.Second)
				for range 30 {
					e := m.entries[m.rng.IntN(entries)]
					switch m.rng.IntN(4) {
					case 0:
						e.down = true
					case 1:
						if e.down {
							m.start(e)
						}
					case 2:
						e.frozen = !e.frozen
					default:
						e.cut = !e.cut
					}
					m.run(time.Duration(m.rng.Int64N(int64(time.Second))))
				}
				for _, e := range m.entries {
					if e.frozen, e.cut = false, false; e.down {
						m.start(e)
					}
				}
				m.run(20 * time.Second)
				requireRule(t, m, begun, limit)
			})
		}
	}
}

// All processes start again at once while all upstreams are limited. They use the limits
// again within two seconds of hearing each other.
func TestLimitsAreUsedAfterAllEntriesRestart(t *testing.T) {
	const limit, span = 8.0, 10 * time.Second
	m := newModel(3, 8, 3, limit, 120)
	m.run(6 * time.Second)
	for _, e := range m.entries {
		m.start(e)
	}
	m.run(2 * time.Second)
	from := m.now
	m.run(span)
	for _, u := range m.upstreams {
		require.GreaterOrEqual(t, float64(countSince(u.sends, from)), 0.9*limit*span.Seconds())
		require.LessOrEqual(t, worstWindow(u.sends, from), allowed(limit))
	}
}

// Entries are killed for good. The others use their share after silentTime.
func TestShareOfAnEntryThatIsGoneIsUsed(t *testing.T) {
	const limit, span = 8.0, 10 * time.Second
	m := newModel(4, 8, 1, limit, 120)
	m.run(6 * time.Second)
	for _, e := range m.entries[:3] {
		e.down = true
	}
	m.run(silentTime + time.Second)
	from := m.now
	m.run(span)
	require.GreaterOrEqual(t, float64(countSince(m.upstreams[0].sends, from)), 0.9*limit*span.Seconds())
}

// An upstream ends its limit, or raises or lowers it. All entries follow within a few
// permits, also if the limit allowed one request in seconds.
func TestLimitThatChangesIsFollowed(t *testing.T) {
	number := func(v float64) *float64 { return &v }
	cases := map[string]struct {
		before, after *float64
		// within is the time until the new limit is in use.
		within time.Duration
	}{
		"raised":          {number(1), number(20), 3 * time.Second},
		"lowered":         {number(20), number(1), contactTime},
		"ended":           {number(2), nil, 3 * time.Second},
		"ended from zero": {number(0), nil, 12 * time.Second},
		"named again":     {nil, number(3), contactTime},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const rate, span = 100.0, 10 * time.Second
			m := newModel(5, 8, 1, 0, rate)
			u := m.upstreams[0]
			u.limit = c.before
			m.run(10 * time.Second)
			u.limit = c.after
			m.run(c.within)
			from := m.now
			m.run(span)
			got := float64(countSince(u.sends, from))
			if c.after == nil {
				require.GreaterOrEqual(t, got, 0.9*rate*span.Seconds())
				return
			}
			require.GreaterOrEqual(t, got, 0.8**c.after*span.Seconds())
			require.LessOrEqual(t, worstWindow(u.sends, from), allowed(*c.after))
		})
	}
}

var begin = time.Unix(1_790_000_000, 0)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// Answers arrive out of order: only one whose request was sent after the limit was last
// stated ends or raises it.
func TestAnswersOutOfOrder(t *testing.T) {
	one, two := 1.0, 2.0
	cases := map[string]struct {
		limit    *float64
		sent     int
		arrived  int
		want     *float64
		changing bool
	}{
		"no limit, sent before the statement": {nil, 500, 2000, &one, false},
		"no limit, sent after the statement":  {nil, 1500, 2000, nil, true},
		"higher, sent before the statement":   {&two, 500, 2000, &one, false},
		"higher, sent after the statement":    {&two, 1500, 2000, &two, true},
		"the same again":                      {&one, 500, 2000, &one, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := New("a")
			require.NotNil(t, l.Answer(9, &one, at(0), at(1000)))
			change := l.Answer(9, c.limit, at(c.sent), at(c.arrived))
			require.Equal(t, c.changing, change != nil)
			require.Equal(t, c.want, l.statement(9).value())
		})
	}
	t.Run("lower, sent before the statement", func(t *testing.T) {
		l := New("a")
		l.Answer(9, &two, at(0), at(1000))
		l.Answer(9, &one, at(500), at(1100))
		require.Equal(t, &one, l.statement(9).value())
	})
}

// Entries that receive the same statements in any order agree.
func TestStatementsMergeInAnyOrder(t *testing.T) {
	statements := []Statement{
		{9, true, 4, at(1000)}, {9, true, 2, at(2000)}, {9, false, 0, at(3000)}, {9, true, 7, at(2500)}, {9, true, 5, at(3000)},
	}
	for shift := range statements {
		l := New("a")
		for i := range statements {
			l.Merge(at(4000), statements[(i*2+shift)%len(statements)])
		}
		require.Equal(t, Statement{9, true, 5, at(3000)}, l.statement(9))
	}
}

// A statement that is dated far ahead is the result of a wrong clock, and would hide
// later ones.
func TestStatementFromTheFutureIsIgnored(t *testing.T) {
	l := New("a")
	require.Nil(t, l.Merge(at(0), Statement{9, true, 1, at(5000)}))
	require.Nil(t, l.Of(9))
	require.NotNil(t, l.Merge(at(0), Statement{9, true, 1, at(20)}))
	require.NotNil(t, l.Of(9))
}

// A new run of an upstream starts without the limit of the earlier one. Its statement is
// forgotten later, and so is that an instance has no limit any more.
func TestStatementsOfOtherInstancesExpire(t *testing.T) {
	one := 1.0
	l := New("a")
	l.Answer(1, &one, at(0), at(0))
	l.Answer(2, &one, at(0), at(0))
	l.Answer(3, &one, at(0), at(0))
	l.Answer(3, nil, at(10), at(20))
	require.Nil(t, l.Of(4))
	listed := func(instance uint64) bool { return instance == 1 }
	l.Expire(begin.Add(retention/2), listed)
	require.Len(t, l.limits, 3)
	l.Expire(begin.Add(retention+time.Second), listed)
	require.NotNil(t, l.Of(1))
	require.Len(t, l.limits, 1)
}

// A message stays small while many upstreams change their limits, and all of them are
// told in the end.
func TestNewsIsBoundedAndComplete(t *testing.T) {
	one := 1.0
	l := New("a")
	for i := range uint64(700) {
		l.Answer(i+1, &one, at(0), at(0))
	}
	seen := map[uint64]bool{}
	for round := range 200 {
		news := l.News(begin.Add(time.Duration(round) * 200 * time.Millisecond))
		require.LessOrEqual(t, len(news), maxNews+maxOld)
		for _, s := range news {
			seen[s.Instance] = true
		}
	}
	require.Len(t, seen, 700)
}

// Statements of processes that make too many of them up do not grow without bound.
func TestStatementsAreBounded(t *testing.T) {
	l := New("a")
	for i := range 2 * maxStatements {
		l.Merge(at(i), Statement{uint64(i), true, 1, at(i)})
		if i > maxStatements {
			break
		}
	}
	require.LessOrEqual(t, len(l.limits), maxStatements)
}

// Urgent requests use a scarce permit at once, others only an older one.
func TestScarcePermitsGoToUrgentRequests(t *testing.T) {
	m := newModel(6, 4, 2, 10, 80)
	urgent := map[string]int{}
	m.level = func(e *modelEntry) int {
		if e == m.entries[0] || e == m.entries[1] {
			return 0
		}
		return 2
	}
	m.run(20 * time.Second)
	for _, e := range m.entries {
		urgent[e.name] = e.served
	}
	served, _ := m.totals()
	require.GreaterOrEqual(t, float64(served), 0.85*20*20)

	// On one entry with both kinds of request, the urgent ones come first.
	l := New("a")
	for ms := 0; ms <= 3000; ms += 500 {
		l.Tick(at(ms))
	}
	ten := 10.0
	l.Answer(9, &ten, at(3000), at(3000))
	count := map[int]int{}
	for ms := 3000; ms < 13000; ms += 20 {
		l.Tick(at(ms))
		for _, level := range []int{2, 0} {
			if level == 0 && ms%120 != 0 {
				continue
			}
			if limit := l.Of(9); l.Available(at(ms), limit, service, level) {
				l.Take(limit)
				count[level]++
			}
		}
	}
	// 83 urgent requests were sent, for which 100 permits were issued.
	require.GreaterOrEqual(t, count[0], 80)
	require.GreaterOrEqual(t, count[0]+count[2], 90)
}

// A customer that uses most of the scarce permits is less urgent than the others.
func TestLargeCustomerYieldsScarcePermits(t *testing.T) {
	l := New("a")
	for i := range 20 {
		l.CountUse(at(i*10), service, "large")
	}
	l.CountUse(at(200), service, "small")
	require.Equal(t, 2, l.Level(at(200), service, 1, "large"))
	require.Equal(t, 1, l.Level(at(200), service, 1, "small"))
	require.Equal(t, 1, l.Level(at(10_000), service, 1, "large"))
}

// Refused callers are told times that follow each other at the rate of the limits.
func TestRefusedCallersDoNotReturnTogether(t *testing.T) {
	l := New("a")
	for ms := 0; ms <= 3000; ms += 500 {
		l.Tick(at(ms))
	}
	var waits []time.Duration
	for range 4 {
		waits = append(waits, l.Wait(at(3000), service, 10))
	}
	require.Equal(t, []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond}, waits)
	for range 1000 {
		require.LessOrEqual(t, l.Wait(at(3000), service, 10), maxWait)
	}
}

// A process that was suspended knows the others no longer and takes no permits until it
// has heard them.
func TestSuspendedProcessTakesNoPermits(t *testing.T) {
	l := New("a")
	fifty := 50.0
	for ms := 0; ms <= 3000; ms += 500 {
		l.Tick(at(ms))
	}
	l.Answer(9, &fifty, at(3000), at(3000))
	l.Tick(at(3500))
	require.True(t, l.Available(at(3500), l.Of(9), service, 0))
	require.False(t, l.Available(at(9000), l.Of(9), service, 0), "before the first Tick after the suspension")
	l.Tick(at(9000))
	require.False(t, l.Available(at(9100), l.Of(9), service, 0))
	l.Tick(at(9700))
	require.True(t, l.Available(at(9900), l.Of(9), service, 0))
}

// An entry that has just started takes a permit that was issued before it knew the others, who
// divided it without this one.
func TestPermitIsTakenTwiceAfterAStart(t *testing.T) {
	const service, instance = 1, 1
	issued := time.Unix(1_000_000, 0)
	started := issued.Add(-minSettleTime / 2)
	l := New("entry")
	l.Tick(started)
	l.Merge(started, Statement{Instance: instance, Limited: true, At: started})
	limit := l.Of(instance)
	require.False(t, l.Available(started.Add(minSettleTime), limit, service, 0))
	next := issued.Add(time.Duration(float64(time.Second) / minRate))
	l.Tick(next.Add(-time.Second))
	require.False(t, l.Available(next.Add(-time.Millisecond), limit, service, 0))
	require.True(t, l.Available(next, limit, service, 0))
}
