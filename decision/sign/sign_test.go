package sign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jaylink/internal/schedule"
)

var start = time.Unix(1000, 0)

func TestLaggingSourceDoesNotCancelAnothersSign(t *testing.T) {
	a, b := NewSet("a", 1), NewSet("b", 1)
	sg, send := a.Observe(start, "h", HostList, true)
	require.True(t, send)
	require.True(t, b.Merge(start, sg))
	_, send = b.Observe(start, "h", HostList, false)
	require.False(t, send, "b's host list lags")
	_, send = b.Observe(start, "h", Report, false)
	require.False(t, send, "the host's own report does not say that it is leaving")
	require.True(t, b.Leaving(start, "h"))
}

func TestObserverWithdrawsItsOwnSign(t *testing.T) {
	a, b := NewSet("a", 1), NewSet("b", 1)
	on, _ := a.Observe(start, "h", Report, true)
	off, send := a.Observe(start, "h", Report, false)
	require.True(t, send)
	b.Merge(start, off)
	require.False(t, b.Merge(start, on), "the older sign arrives after the withdrawal")
	require.False(t, b.Leaving(start, "h"))
}

func TestSignLapsesUnlessRenewed(t *testing.T) {
	a, b := NewSet("a", 1), NewSet("b", 1)
	sg, _ := a.Observe(start, "h", Report, true)
	b.Merge(start, sg)
	_, send := b.Observe(start.Add(time.Second), "h", Report, true)
	require.False(t, send, "one observer is enough")
	late := start.Add(renewThreshold + time.Second)
	sg, send = b.Observe(late, "h", Report, true)
	require.True(t, send, "a does not renew its sign")
	require.Equal(t, "b", sg.Observer)
	require.True(t, b.Leaving(late.Add(renewThreshold), "h"))
	require.False(t, b.Leaving(late.Add(Validity), "h"))
	b.Expire(late.Add(Validity))
	require.Empty(t, b.All(late.Add(Validity)))
}

func TestNoticeHoldsUntilAfterItsDeadline(t *testing.T) {
	s := NewSet("a", 1)
	deadline := start.Add(30 * time.Second)
	_, send := s.ObserveNotice(start, "unknown", deadline)
	require.True(t, send)
	_, send = s.ObserveNotice(start, "unknown", deadline)
	require.False(t, send, "the platform repeats a known notice")
	require.True(t, s.Leaving(deadline, "unknown"))
	at, ok := s.Deadline(start, "unknown")
	require.True(t, ok && at.Equal(deadline))
	require.False(t, s.Leaving(deadline.Add(NoticeGrace), "unknown"))
	_, send = s.ObserveNotice(deadline.Add(NoticeGrace), "unknown", deadline)
	require.False(t, send, "a new reader of the notices must ignore expired ones")
}

func TestStartingEntryMergesAllSigns(t *testing.T) {
	a, b := NewSet("a", 1), NewSet("b", 1)
	a.Observe(start, "h", Report, true)
	a.ObserveNotice(start, "g", start.Add(time.Minute))
	later := start.Add(20 * time.Second)
	for _, sg := range a.All(later) {
		require.True(t, b.Merge(later, sg))
	}
	require.True(t, b.Leaving(later, "h") && b.Leaving(later, "g"))
	require.False(t, b.Leaving(start.Add(Validity), "h"), "forwarding a sign must not extend its validity")
}

// An entry that receives all signals of an observer, in any order, agrees with the
// observer's latest observation.
func TestSignsInAnyOrder(t *testing.T) {
	schedule.Property(t, func(t *rapid.T) {
		a, b := NewSet("a", 1), NewSet("b", 1)
		var sent []Signal
		now, last := start, false
		for range rapid.IntRange(1, 20).Draw(t, "observations") {
			now = now.Add(time.Second)
			last = rapid.Bool().Draw(t, "leaving")
			if sg, send := a.Observe(now, "h", Report, last); send {
				sent = append(sent, sg)
			}
		}
		for _, i := range rapid.Permutation(indexes(len(sent))).Draw(t, "order") {
			b.Merge(now, sent[i])
		}
		require.Equal(t, last, b.Leaving(now, "h"))
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
