package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/poison"
	"jaylink/platform"
	"jaylink/serving"
)

// crashFleet is a model of what entries tell each other of crashes, in virtual time.
type crashFleet struct {
	t        *testing.T
	now      time.Time
	peers    peerList
	rng      *rand.Rand
	trackers map[*net.UDPAddr]*poison.Tracker
	// fresh has the entries that tell at once of something new.
	fresh map[*net.UDPAddr]bool
	sent  int
}

func newCrashFleet(t *testing.T, entries int) *crashFleet {
	f := &crashFleet{
		t: t, now: time.UnixMilli(1788699736267), peers: fleetOf(entries + 1), rng: rand.New(rand.NewPCG(1, 0)),
		trackers: map[*net.UDPAddr]*poison.Tracker{}, fresh: map[*net.UDPAddr]bool{},
	}
	for _, a := range f.entries() {
		f.trackers[a] = poison.NewTracker()
	}
	return f
}

func (f *crashFleet) entries() []*net.UDPAddr {
	return append(append([]*net.UDPAddr{}, f.peers.near...), f.peers.far...)
}

// tell sends what an entry knows to some others.
func (f *crashFleet) tell(from *net.UDPAddr, to []*net.UDPAddr, heard map[*net.UDPAddr]bool) {
	reports, verdicts := f.trackers[from].News(f.now)
	for _, a := range to {
		f.sent++
		for _, r := range reports {
			for _, request := range r.Requests {
				if f.trackers[a].Add(f.now, poison.Crash{Fingerprint: request, Upstream: r.Upstream, At: r.At}) {
					heard[a] = true
				}
			}
		}
		for _, v := range verdicts {
			if f.trackers[a].Hear(f.now, v) {
				heard[a] = true
			}
		}
	}
}

// step lets soonDelay pass; in a turn every entry that knows something tells another.
func (f *crashFleet) step(turn bool) {
	f.now = f.now.Add(soonDelay)
	heard := map[*net.UDPAddr]bool{}
	for _, a := range f.entries() {
		if f.fresh[a] {
			f.tell(a, f.peers.draw(f.rng, crashFanout), heard)
		}
		if reports, verdicts := f.trackers[a].News(f.now); turn && len(reports)+len(verdicts) > 0 {
			f.tell(a, f.peers.draw(f.rng, 1), heard)
		}
	}
	f.fresh = heard
}

func (f *crashFleet) unaware(request uint64) int {
	n := 0
	for _, tr := range f.trackers {
		if !tr.Poisoned(f.now, request) {
			n++
		}
	}
	return n
}

// Three entries saw one crash each. All others know in time, however large the fleet,
// and an entry that starts later learns it too.
func TestThirdCrashIsKnownEverywhereInTime(t *testing.T) {
	const contact = 3 * time.Second
	for _, entries := range []int{3, 8, 60, 295, 1000} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			f := newCrashFleet(t, entries)
			began := f.now
			for i, a := range f.entries()[:3] {
				f.trackers[a].Add(f.now, poison.Crash{Fingerprint: 1, Upstream: fmt.Sprint(i), At: f.now})
				f.fresh[a] = true
			}
			for i := 1; f.unaware(1) > 0 && f.now.Sub(began) < contact; i++ {
				f.step(i%int(lateInterval/soonDelay) == 0)
			}
			require.Zero(t, f.unaware(1))
			t.Logf("all of %d know after %s, %d datagrams an entry", entries, f.now.Sub(began), f.sent/entries)
			started := f.entries()[entries-1]
			f.trackers[started] = poison.NewTracker()
			began = f.now
			for i := 1; f.unaware(1) > 0 && f.now.Sub(began) < contact; i++ {
				f.step(i%int(lateInterval/soonDelay) == 0)
			}
			require.Zero(t, f.unaware(1), "an entry that starts later")
		})
	}
}

// An upstream ends as it had said in its answers, while the store, which knows as well,
// is out. That is no crash.
func TestPlannedEndOfAnUpstreamBlamesItsRequests(t *testing.T) {
	u := serving.Upstream{ID: "i", Service: "s", Address: "127.0.0.1:1", Zone: "z", Born: 1}
	g := New(platform.Settings{Name: "e", Bounds: bounds()}, slog.New(slog.DiscardHandler))
	g.upstreams.Store(&upstreamList{list: map[string]serving.Upstream{"i": u}})
	g.table.SetUpstreams([]serving.Upstream{u})
	g.table.Leave(u)
	r := &request{target: "/a/1"}
	r.progress.upstream = u
	g.suspectCrash(r, io.EOF)
	look, _ := g.suspicions.Broke(g.trueTime(), "i", r.fingerprint())
	require.True(t, look, "nothing was suspected before")
}
