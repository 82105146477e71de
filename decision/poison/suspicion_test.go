package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOneProbeCoversConcurrentBrokenConnections(t *testing.T) {
	s := NewCrashSuspicions()
	probe, crashed := s.ConnectionBroken(report(1, "u", 0))
	require.True(t, probe)
	require.False(t, crashed)
	probe, _ = s.ConnectionBroken(report(2, "u", 0))
	require.False(t, probe, "a probe is already under way")
	probe, _ = s.ConnectionBroken(report(3, "other", 0))
	require.True(t, probe)
	require.Equal(t, []Crash{report(1, "u", 0), report(2, "u", 0)}, s.ProbeFinished("u", true))
	require.Empty(t, s.ProbeFinished("u", true))
	probe, crashed = s.ConnectionBroken(report(4, "u", crashMergeWindow/2))
	require.False(t, probe)
	require.True(t, crashed, "the connection broke in a crash that is already known")
	probe, _ = s.ConnectionBroken(report(5, "u", crashMergeWindow))
	require.True(t, probe, "a connection that breaks later belongs to another event")
}

// An upstream may be running again before the probe. That it is another process shows the
// crash.
func TestUpstreamThatIsBackBeforeTheProbeHasCrashed(t *testing.T) {
	s := NewCrashSuspicions()
	require.Empty(t, s.Restarted(start, "u"), "no connection broke")
	s.ConnectionBroken(report(1, "u", 0))
	require.Empty(t, s.Restarted(start, "u"), "the probe will tell")
	require.Empty(t, s.ProbeFinished("u", false))
	require.Equal(t, []Crash{report(1, "u", 0)}, s.Restarted(start.Add(2*time.Second), "u"))
	require.Empty(t, s.Restarted(start.Add(3*time.Second), "u"))
	s.ConnectionBroken(report(2, "v", 0))
	s.ProbeFinished("v", false)
	require.Empty(t, s.Restarted(start.Add(RestartNoticeTime), "v"), "the restart has another cause")
}

func TestLiveUpstreamYieldsNoCrash(t *testing.T) {
	s := NewCrashSuspicions()
	s.ConnectionBroken(report(1, "u", 0))
	require.Empty(t, s.ProbeFinished("u", false))
	probe, crashed := s.ConnectionBroken(report(2, "u", crashMergeWindow/2))
	require.False(t, probe)
	require.False(t, crashed)
}

// An upstream crashes behind something that goes on listening, so that the probe does not show
// it. Requests that are sent to it while it is down have not ended it.
func TestRequestsToADeadUpstreamAreBlamedForItsCrash(t *testing.T) {
	for name, answers := range map[string]bool{"down since the first": false, "answers in between": true} {
		t.Run(name, func(t *testing.T) {
			s := NewCrashSuspicions()
			s.ConnectionBroken(report(1, "u", 0))
			require.Empty(t, s.ProbeFinished("u", false))
			s.Answered("u", start.Add(-time.Second))
			want := []Crash{report(1, "u", 0)}
			if answers {
				s.Answered("u", start.Add(crashMergeWindow/2))
				want = []Crash{report(2, "u", crashMergeWindow)}
			}
			probe, _ := s.ConnectionBroken(report(2, "u", crashMergeWindow))
			require.True(t, probe)
			require.Empty(t, s.ProbeFinished("u", false))
			require.Equal(t, want, s.Restarted(start.Add(RestartNoticeTime/2), "u"))
		})
	}
}

// The upstream answers while it is probed again. It was not down since its first connection broke,
// so that the later requests are suspected, also if the answer is to one sent before theirs.
func TestAnswerDuringALaterProbeIsForgotten(t *testing.T) {
	const later = crashMergeWindow
	for name, sent := range map[string]time.Duration{"sent between": later / 2, "sent after": later + 1} {
		t.Run(name, func(t *testing.T) {
			s := NewCrashSuspicions()
			s.ConnectionBroken(report(1, "u", 0))
			require.Empty(t, s.ProbeFinished("u", false))
			s.ConnectionBroken(report(2, "u", later))
			s.Answered("u", start.Add(sent))
			require.Empty(t, s.ProbeFinished("u", false))
			require.Equal(t, []Crash{report(2, "u", later)}, s.Restarted(start.Add(RestartNoticeTime/2), "u"))
		})
	}
}

// A later probe that shows a crash leaves open which of the two breaks it was.
func TestLaterProbeForgetsTheFirstRequests(t *testing.T) {
	s := NewCrashSuspicions()
	s.ConnectionBroken(report(1, "u", 0))
	require.Empty(t, s.ProbeFinished("u", false))
	s.ConnectionBroken(report(2, "u", crashMergeWindow))
	require.Equal(t, []Crash{report(1, "u", 0), report(2, "u", crashMergeWindow)}, s.ProbeFinished("u", true))
	require.Empty(t, s.Restarted(start.Add(RestartNoticeTime/2), "u"))
}

// A process that has outlived a broken connection did not break it in a crash, whatever becomes of
// it later. Connections that broke after the question are still suspected.
func TestProcessThatOutlivedABreakIsBlamedForItsLaterRestart(t *testing.T) {
	for name, tc := range map[string]struct {
		asked time.Duration
		want  int
	}{"asked after the last break": {20, 0}, "asked before the last break": {5, 2}} {
		t.Run(name, func(t *testing.T) {
			s := NewCrashSuspicions()
			s.ConnectionBroken(report(1, "u", 0))
			s.ConnectionBroken(report(2, "u", 10))
			s.Alive("u", time.Time{}, start.Add(tc.asked))
			require.Empty(t, s.ProbeFinished("u", false))
			require.Len(t, s.Restarted(start.Add(time.Second), "u"), tc.want)
		})
	}
	s := NewCrashSuspicions()
	s.ConnectionBroken(report(1, "u", 0))
	s.Alive("u", time.Time{}, start.Add(1))
	s.ProbeFinished("u", false)
	probe, _ := s.ConnectionBroken(report(2, "u", 2))
	require.True(t, probe, "the next break has another cause")
	require.Equal(t, []Crash{report(2, "u", 2)}, s.ProbeFinished("u", true))
	s.Alive("u", time.Time{}, start.Add(time.Second))
	require.Empty(t, s.Restarted(start.Add(time.Second), "u"), "the crash is known")
}

// An upstream is down behind something that goes on listening, so that requests are still sent to
// it and broken off. They did not end it.
func TestRequestsSentAfterACrashAreBlamedForIt(t *testing.T) {
	for name, tc := range map[string]struct {
		sent     time.Duration
		involved bool
	}{"sent before the first connection broke": {-1, true}, "sent after": {1, false}} {
		t.Run(name, func(t *testing.T) {
			s := NewCrashSuspicions()
			want := []Crash{report(1, "u", 0)}
			s.ConnectionBroken(want[0])
			second := report(2, "u", crashMergeWindow/4)
			second.Sent = start.Add(tc.sent)
			probe, _ := s.ConnectionBroken(second)
			require.False(t, probe)
			if tc.involved {
				second.At = start
				want = append(want, second)
			}
			require.Equal(t, want, s.ProbeFinished("u", true))
			third := report(3, "u", crashMergeWindow/2)
			third.Sent = start.Add(tc.sent)
			_, crashed := s.ConnectionBroken(third)
			require.Equal(t, tc.involved, crashed)
		})
	}
}

// A process may have taken the place of one that crashed before it started.
func TestLaterProcessExplainsAnEarlierBreak(t *testing.T) {
	s := NewCrashSuspicions()
	s.ConnectionBroken(report(1, "u", 0))
	require.Empty(t, s.ProbeFinished("u", false))
	s.Alive("u", start.Add(time.Second), start.Add(2*time.Second))
	require.Equal(t, []Crash{report(1, "u", 0)}, s.Restarted(start.Add(3*time.Second), "u"))

	s = NewCrashSuspicions()
	s.ConnectionBroken(report(1, "u", 0))
	require.Empty(t, s.ProbeFinished("u", false))
	s.ConnectionBroken(report(2, "u", 2*time.Second))
	s.Alive("u", start.Add(time.Second), start.Add(3*time.Second))
	require.Empty(t, s.ProbeFinished("u", false))
	require.Equal(t, []Crash{report(1, "u", 0)}, s.Restarted(start.Add(4*time.Second), "u"))
}
