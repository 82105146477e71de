package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crash reports crashes of different upstreams under a request.
func crashUnder(tr *Tracker, f uint64, times ...time.Duration) {
	for i, after := range times {
		tr.Add(start.Add(after), report(f, fmt.Sprintf("%d at %s", i, after), after))
	}
}

// A request that many callers send, such as a look-up of one thing, runs on many
// upstreams at the moment at which they end for another reason.
func TestUpstreamsThatEndTogetherDoNotBlameAPopularRequest(t *testing.T) {
	tr := NewTracker()
	tr.Answered(start, 1)
	crashUnder(tr, 1, time.Second, time.Second, time.Second+sameRound/2, time.Second, time.Second, time.Second)
	require.False(t, tr.Poisoned(start.Add(time.Second), 1))
	crashUnder(tr, 1, 3*time.Second, 5*time.Second)
	require.True(t, tr.Poisoned(start.Add(5*time.Second), 1), "it ends them each time that it is sent again")
}

func TestAnswerInFullForgetsCrashes(t *testing.T) {
	tr := NewTracker()
	require.False(t, tr.Answered(start, 1), "nothing was held against it")
	crashUnder(tr, 2, time.Second, 2*time.Second)
	require.True(t, tr.Answered(start.Add(3*time.Second), 2))
	require.Zero(t, tr.Crashes(2))
	require.False(t, tr.Add(start.Add(4*time.Second), report(2, "late report", 2*time.Second)))
	require.True(t, tr.Add(start.Add(5*time.Second), report(2, "later crash", 4*time.Second)))
	require.Equal(t, 1, tr.Crashes(2))
}

func TestAnswerInFullEndsAVerdict(t *testing.T) {
	tr := NewTracker()
	crashUnder(tr, 1, 0, 0, 0)
	require.True(t, tr.Poisoned(start, 1))
	require.True(t, tr.Answered(start.Add(time.Second), 1))
	require.False(t, tr.Poisoned(start.Add(time.Second), 1))
	require.False(t, tr.Hear(start.Add(time.Second), Verdict{Fingerprint: 1, At: start}), "an older verdict of an entry that has not heard")
}

// An entry that starts later, or was cut off, learns by verdicts.
func TestVerdictsReachEntriesThatSawNoCrash(t *testing.T) {
	one, two := NewTracker(), NewTracker()
	crashUnder(one, 1, 0, 0, 0)
	later := start.Add(2 * toldTime)
	reports, verdicts := one.News(later)
	require.Empty(t, reports)
	require.Len(t, verdicts, 1)
	require.True(t, two.Hear(later, verdicts[0]))
	require.True(t, two.Poisoned(later, 1))
	require.False(t, two.Hear(later, verdicts[0]), "told again it is no news")
}

// An entry that does not know a popular request may take it for poison.
func TestVerdictOnARequestThatWasAnsweredHereIsNotTaken(t *testing.T) {
	tr := NewTracker()
	tr.Answered(start, 1)
	crashUnder(tr, 1, time.Second, time.Second, time.Second)
	require.False(t, tr.Hear(start.Add(time.Second), Verdict{Fingerprint: 1, At: start.Add(time.Second)}))
	require.False(t, tr.Poisoned(start.Add(time.Second), 1))
	require.True(t, tr.Answered(start.Add(2*time.Second), 1), "the others hear that it is sound")
}

// Three entries each saw one crash; what they tell adds up, in any order.
func TestCrashesSeenByDifferentEntriesAddUp(t *testing.T) {
	trackers := []*Tracker{NewTracker(), NewTracker(), NewTracker()}
	for i, tr := range trackers {
		tr.Add(start, report(1, fmt.Sprint(i), time.Duration(i)))
	}
	for _, from := range trackers {
		for _, to := range trackers {
			reports, verdicts := from.News(start)
			for _, r := range reports {
				for _, f := range r.Requests {
					to.Add(start, Crash{Fingerprint: f, Upstream: r.Upstream, At: r.At})
				}
			}
			for _, v := range verdicts {
				to.Hear(start, v)
			}
		}
	}
	for i, tr := range trackers {
		require.True(t, tr.Poisoned(start, 1), "entry %d", i)
	}
}

func TestWhatIsToldIsBounded(t *testing.T) {
	tr := NewTracker()
	for i := range 4 * maxTold {
		for f := range 4 * maxToldRequests {
			tr.Add(start, report(uint64(1000*i+f), fmt.Sprint(i), time.Duration(i)))
		}
	}
	tr.Add(start, report(1, "0", time.Duration(4*maxTold)))
	reports, _ := tr.News(start)
	require.Len(t, reports, maxTold)
	for _, r := range reports {
		require.LessOrEqual(t, len(r.Requests), maxToldRequests)
	}
	for i := range 2 * maxAnswers {
		tr.Answered(start, uint64(i))
	}
	require.Len(t, tr.answered.has, maxAnswers)
	require.Len(t, tr.answered.order, maxAnswers)
}
