package gateway

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/decision/poison"
	"jaylink/platform"
	"jaylink/serving"
)

// A restored store lists upstreams with the start times of earlier processes. The processes that
// run are the same as before.
func TestRestoredListNamesTheProcessBefore(t *testing.T) {
	s := newProcessStarts()
	at := func(start int64) serving.Upstream {
		return serving.Upstream{ID: "i", Address: "a", StartMillis: start}
	}
	list := func(u serving.Upstream) { s.list(map[string]serving.Upstream{"i": u}) }
	latest := func(u serving.Upstream) int64 { return s.current(u).StartMillis }
	list(at(5))
	require.Equal(t, int64(5), latest(at(5)))
	list(at(9))
	list(at(5))
	require.Equal(t, int64(9), latest(at(5)), "the store was restored")
	s.learn(at(5), 12)
	require.Equal(t, int64(12), latest(at(5)), "started again")
	list(at(9))
	require.Equal(t, int64(12), latest(at(9)), "listed late")
	list(at(3))
	require.Equal(t, int64(3), latest(at(3)), "the clock of the host was set back")
	s.learn(at(3), 12)
	require.Equal(t, int64(12), latest(at(3)), "the process itself knows best")
	moved := at(3)
	moved.Address = "b"
	list(moved)
	require.Equal(t, int64(3), latest(moved), "another address")
	s.list(nil)
	require.Empty(t, s.byPlace)
}

func TestUpstreamWithoutAStartTimeGetsNone(t *testing.T) {
	s := newProcessStarts()
	u := serving.Upstream{ID: "i", Address: "a"}
	s.list(map[string]serving.Upstream{"i": u})
	s.learn(u, 7)
	require.Zero(t, s.current(u).StartMillis)
}

// Requests whose connections broke shortly before the store was restored have ended no upstream.
func TestRestoredListBlamesRequestsForARestart(t *testing.T) {
	g := New(platform.Settings{Name: "e", Bounds: bounds()}, slog.New(slog.DiscardHandler))
	list := func(start int64) [][]poison.Crash {
		before, u := g.upstreams.Load(), serving.Upstream{ID: "i", Service: "s", Address: "a", StartMillis: start}
		next := &upstreamList{upstreams: map[string]serving.Upstream{"i": u}}
		restarted := g.newProcesses(before, next)
		g.setUpstreams(next)
		return g.crashesOf(restarted)
	}
	require.Empty(t, list(5))
	require.Empty(t, list(9), "no connection broke")
	g.suspicions.ConnectionBroken(poison.Crash{Fingerprint: 1, Upstream: "i", At: g.trueTime()})
	require.Empty(t, g.suspicions.ProbeFinished("i", false))
	require.Empty(t, list(5), "restored")
	require.Empty(t, list(9), "written again")
	require.Len(t, list(12), 1, "started again")
}
