package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// addCrashes adds crashes of a different upstream each that involve the request
// f.
func addCrashes(tr *Tracker, f uint64, times ...time.Duration) {
	for i, after := range times {
		tr.Add(start.Add(after), report(f, fmt.Sprintf("%d at %s", i, after), after))
	}
}

// Guards against treating a popular request as poison: a request that many
// callers send, such as a frequent query, runs on many upstreams when these end
// together for another reason.
func TestUpstreamsThatEndTogetherDoNotBlameAPopularRequest(t *testing.T) {
	tr := NewTracker()
	tr.Answered(start, 1)
	addCrashes(tr, 1, time.Second, time.Second, time.Second+roundWindow/2, time.Second, time.Second, time.Second)
	require.False(t, tr.Poisoned(start.Add(time.Second), 1))
	addCrashes(tr, 1, 3*time.Second, 5*time.Second)
	require.True(t, tr.Poisoned(start.Add(5*time.Second), 1), "upstreams crash each time that it is sent again")
}

func TestCompleteAnswerClearsCrashes(t *testing.T) {
	tr := NewTracker()
	require.False(t, tr.Answered(start, 1), "no crash counted against it")
	addCrashes(tr, 2, time.Second, 2*time.Second)
	require.True(t, tr.Answered(start.Add(3*time.Second), 2))
	require.Zero(t, tr.Crashes(2))
	require.False(t, tr.Add(start.Add(4*time.Second), report(2, "late report", 2*time.Second)))
	require.True(t, tr.Add(start.Add(5*time.Second), report(2, "later crash", 4*time.Second)))
	require.Equal(t, 1, tr.Crashes(2))
}

func TestCompleteAnswerRevokesPoisonVerdict(t *testing.T) {
	tr := NewTracker()
	addCrashes(tr, 1, 0, 0, 0)
	require.True(t, tr.Poisoned(start, 1))
	require.True(t, tr.Answered(start.Add(time.Second), 1))
	require.False(t, tr.Poisoned(start.Add(time.Second), 1))
	require.False(t, tr.ApplyVerdict(start.Add(time.Second), Verdict{Fingerprint: 1, At: start}), "an older verdict of an entry that does not know of the answer")
}

// An entry that starts later, or was partitioned from the others, learns of a
// poison request from the verdict.
func TestVerdictsReachEntriesThatSawNoCrash(t *testing.T) {
	one, two := NewTracker(), NewTracker()
	addCrashes(one, 1, 0, 0, 0)
	later := start.Add(2 * reportTime)
	reports, verdicts := one.Updates(later)
	require.Empty(t, reports)
	require.Len(t, verdicts, 1)
	require.True(t, two.ApplyVerdict(later, verdicts[0]))
	require.True(t, two.Poisoned(later, 1))
	require.False(t, two.ApplyVerdict(later, verdicts[0]), "a repeated verdict is not new")
}

// An entry that has not seen a popular request answered may report it as
// poison. An entry that answered it ignores that verdict.
func TestVerdictOnARequestThatWasAnsweredHereIsNotTaken(t *testing.T) {
	tr := NewTracker()
	tr.Answered(start, 1)
	addCrashes(tr, 1, time.Second, time.Second, time.Second)
	require.False(t, tr.ApplyVerdict(start.Add(time.Second), Verdict{Fingerprint: 1, At: start.Add(time.Second)}))
	require.False(t, tr.Poisoned(start.Add(time.Second), 1))
	require.True(t, tr.Answered(start.Add(2*time.Second), 1), "the other entries are told that it is cleared")
}

// Three entries each saw one crash. After they exchange updates, in any order,
// each of them counts all three.
func TestCrashesSeenByDifferentEntriesAddUp(t *testing.T) {
	trackers := []*Tracker{NewTracker(), NewTracker(), NewTracker()}
	for i, tr := range trackers {
		tr.Add(start, report(1, fmt.Sprint(i), time.Duration(i)))
	}
	for _, from := range trackers {
		for _, to := range trackers {
			reports, verdicts := from.Updates(start)
			for _, r := range reports {
				for _, f := range r.Requests {
					to.Add(start, Crash{Fingerprint: f, Upstream: r.Upstream, At: r.At})
				}
			}
			for _, v := range verdicts {
				to.ApplyVerdict(start, v)
			}
		}
	}
	for i, tr := range trackers {
		require.True(t, tr.Poisoned(start, 1), "entry %d", i)
	}
}

func TestUpdatesAreBounded(t *testing.T) {
	tr := NewTracker()
	for i := range 4 * maxReports {
		for f := range 4 * maxReportRequests {
			tr.Add(start, report(uint64(1000*i+f), fmt.Sprint(i), time.Duration(i)))
		}
	}
	tr.Add(start, report(1, "0", time.Duration(4*maxReports)))
	reports, _ := tr.Updates(start)
	require.Len(t, reports, maxReports)
	for _, r := range reports {
		require.LessOrEqual(t, len(r.Requests), maxReportRequests)
	}
	for i := range 2 * maxAnswered {
		tr.Answered(start, uint64(i))
	}
	require.Len(t, tr.answered.members, maxAnswered)
	require.Len(t, tr.answered.ring, maxAnswered)
}
