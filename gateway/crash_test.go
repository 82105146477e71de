package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/placement"
	"jaylink/decision/poison"
	"jaylink/platform"
	"jaylink/serving"
)

// crashFleet simulates in virtual time how entries exchange crash information.
type crashFleet struct {
	t        *testing.T
	now      time.Time
	peers    peerList
	rng      *rand.Rand
	trackers map[*net.UDPAddr]*poison.Tracker
	// informed holds the entries that learned something new in the last step and send it
	// on at once.
	informed map[*net.UDPAddr]bool
	sent     int
}

func newCrashFleet(t *testing.T, entries int) *crashFleet {
	f := &crashFleet{
		t: t, now: time.UnixMilli(1788699736267), peers: fleetOf(entries + 1), rng: rand.New(rand.NewPCG(1, 0)),
		trackers: map[*net.UDPAddr]*poison.Tracker{}, informed: map[*net.UDPAddr]bool{},
	}
	for _, a := range f.entries() {
		f.trackers[a] = poison.NewTracker()
	}
	return f
}

func (f *crashFleet) entries() []*net.UDPAddr {
	return append(append([]*net.UDPAddr{}, f.peers.near...), f.peers.far...)
}

// send sends an entry's crash information to some peers, and adds those that learn
// something new to heard.
func (f *crashFleet) send(from *net.UDPAddr, to []*net.UDPAddr, heard map[*net.UDPAddr]bool) {
	reports, verdicts := f.trackers[from].Updates(f.now)
	for _, a := range to {
		f.sent++
		for _, r := range reports {
			for i, request := range r.Requests {
				if f.trackers[a].Add(f.now, poison.Crash{Fingerprint: request, Upstream: r.Upstream, At: r.At, Parts: r.Parts[i]}) {
					heard[a] = true
				}
			}
		}
		for _, v := range verdicts {
			if f.trackers[a].ApplyVerdict(f.now, v) {
				heard[a] = true
			}
		}
	}
}

// step advances the time by earlyGossipDelay. If it is the time of a gossip round, every
// entry that has crash information sends it to one peer.
func (f *crashFleet) step(inRound bool) {
	f.now = f.now.Add(earlyGossipDelay)
	heard := map[*net.UDPAddr]bool{}
	for _, a := range f.entries() {
		if f.informed[a] {
			f.send(a, f.peers.sample(f.rng, newsFanout), heard)
		}
		if reports, verdicts := f.trackers[a].Updates(f.now); inRound && len(reports)+len(verdicts) > 0 {
			f.send(a, f.peers.sample(f.rng, 1), heard)
		}
	}
	f.informed = heard
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

// Three entries have seen one crash each of the same request. All entries must learn
// within the contact bound of the platform that the request is poison, whatever the size
// of the fleet, and so must an entry that starts later.
func TestThirdCrashIsKnownEverywhereInTime(t *testing.T) {
	const contactBound = 3 * time.Second
	for _, entries := range []int{3, 8, 60, 295, 1000} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			f := newCrashFleet(t, entries)
			began := f.now
			for i, a := range f.entries()[:3] {
				f.trackers[a].Add(f.now, poison.Crash{Fingerprint: 1, Upstream: fmt.Sprint(i), At: f.now})
				f.informed[a] = true
			}
			for i := 1; f.unaware(1) > 0 && f.now.Sub(began) < contactBound; i++ {
				f.step(i%int(slowGossipInterval/earlyGossipDelay) == 0)
			}
			require.Zero(t, f.unaware(1))
			t.Logf("all %d entries know after %s, with %d datagrams per entry", entries, f.now.Sub(began), f.sent/entries)
			started := f.entries()[entries-1]
			f.trackers[started] = poison.NewTracker()
			began = f.now
			for i := 1; f.unaware(1) > 0 && f.now.Sub(began) < contactBound; i++ {
				f.step(i%int(slowGossipInterval/earlyGossipDelay) == 0)
			}
			require.Zero(t, f.unaware(1), "an entry that starts later")
		})
	}
}

// judge has every entry judge the parts, which it does at least once in a round.
func (f *crashFleet) judge() {
	for _, a := range f.entries() {
		if len(f.trackers[a].JudgeParts(f.now)) > 0 {
			f.informed[a] = true
		}
	}
}

// maySend counts the entries that would send a request with a part.
func (f *crashFleet) maySend(part uint64) int {
	n := 0
	for _, tr := range f.trackers {
		if _, deadly := tr.DeadlyPart(f.now, []uint64{part}); !deadly {
			n++
		}
	}
	return n
}

// Five entries have seen one crash each of requests that share a part. All entries must
// refuse requests with it within the contact bound of the platform, whatever the size of
// the fleet, and so must an entry that starts later.
func TestDeadlyPartIsKnownEverywhereInTime(t *testing.T) {
	const contactBound, part = 3 * time.Second, 7
	for _, entries := range []int{8, 60, 295, 1000} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			f := newCrashFleet(t, entries)
			for i, a := range f.entries()[:5] {
				for range int(200 * time.Millisecond / earlyGossipDelay) {
					f.step(false)
				}
				f.trackers[a].Add(f.now, poison.Crash{Fingerprint: uint64(i), Upstream: fmt.Sprint(i), At: f.now, Parts: []uint64{part}})
				f.informed[a] = true
			}
			await := func() time.Duration {
				began := f.now
				for i := 1; f.maySend(part) > 0 && f.now.Sub(began) < contactBound; i++ {
					inRound := i%int(slowGossipInterval/earlyGossipDelay) == 0
					f.step(inRound)
					if inRound {
						f.judge()
					}
				}
				require.Zero(t, f.maySend(part))
				return f.now.Sub(began)
			}
			t.Logf("all %d entries know after %s, with %d datagrams per entry", entries, await(), f.sent/entries)
			f.trackers[f.entries()[entries-1]] = poison.NewTracker()
			t.Logf("an entry that starts knows after %s", await())
		})
	}
}

// With the verdict on a part, requests that have not begun to be answered must not go on
// to crash the upstreams that they are on: the caller gets the final refusal at once.
func TestVerdictOnAPartEndsRequestsUnderWay(t *testing.T) {
	const part = 7
	requestWith := func(part uint64) *request {
		r := &request{http: httptest.NewRequest(http.MethodPost, "/a/1", nil), route: &serving.Route{MaxAttempts: 2}, service: &serving.Service{Name: "s"}, deadline: time.Now().Add(time.Minute)}
		r.Prompt = &serving.Prompt{Parts: []serving.Part{{Hash: part}, {Hash: 1}}}
		return r
	}
	retryBounds := bounds()
	retryBounds.RetryWindow = 10 * time.Second
	// The upstream accepts connections and never answers.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	g := New(platform.Settings{Name: "e", Bounds: retryBounds}, slog.New(slog.DiscardHandler))
	u := serving.Upstream{ID: "i", Service: "s", Address: silent.Addr().String()}
	g.table.SetUpstreams([]serving.Upstream{u})
	deadly, other, begun := requestWith(part), requestWith(part+1), requestWith(part)
	begun.progress.writingSince = time.Now()
	ended := map[*request]bool{}
	for _, r := range []*request{other, begun} {
		g.promptAttempts[r] = func(error) { ended[r] = true }
	}
	result := make(chan attemptResult)
	go func() {
		got, _ := g.attempt(t.Context(), deadly, placement.Choice{Upstream: u})
		result <- got
	}()
	conn, err := silent.Accept()
	require.NoError(t, err)
	defer conn.Close()
	g.applyCrashReports(gossipMessage{Entry: "peer", Verdicts: []poison.Verdict{{Kind: poison.PartVerdict, Fingerprint: part, At: g.clock.At(monotonic())}}})
	require.Equal(t, broken, <-result)
	refused := g.poisonRefusal(deadly)
	require.NotNil(t, refused)
	require.Equal(t, http.StatusBadRequest, refused.status)
	require.Empty(t, ended)
}

// An entry that is paused between the result of a probe and its end may find that the next
// probe of the upstream has begun. Each must release its own waiting requests.
func TestProbeThatEndsLateLeavesTheNextOneAlone(t *testing.T) {
	g := New(platform.Settings{Name: "e", Bounds: bounds()}, slog.New(slog.DiscardHandler))
	late, next := make(chan struct{}), make(chan struct{})
	g.crashProbes["i"] = next
	g.endCrashProbe("i", late)
	<-late
	require.Contains(t, g.crashProbes, "i")
	g.endCrashProbe("i", next)
	<-next
	require.Empty(t, g.crashProbes)
}

// The status and headers of an answer may come before the upstream begins to write it, and
// must not clear the parts of its prompt.
func TestHeadOfAnAnswerClearsNoPart(t *testing.T) {
	g := New(platform.Settings{Name: "e", Bounds: bounds()}, slog.New(slog.DiscardHandler))
	u := serving.Upstream{ID: "i", Service: "s"}
	g.table.SetUpstreams([]serving.Upstream{u})
	r := &request{route: &serving.Route{}, service: &serving.Service{Name: "s"}}
	g.markStarted(r, g.table.Start(time.Now(), placement.Choice{Upstream: u}, nil))
	require.False(t, r.progress.provesParts(time.Now().Add(time.Minute)))
	g.recordWriting(r)
	require.True(t, r.progress.provesParts(time.Now().Add(time.Minute)))
}

func TestRestartedUpstreamsAreNoticed(t *testing.T) {
	u := func(address string, start int64, draining bool) serving.Upstream {
		return serving.Upstream{Service: "s", Address: address, StartMillis: start, Draining: draining}
	}
	other := u("a5", 2, false)
	other.Service = "another"
	before := map[string]serving.Upstream{
		"same": u("a1", 1, false), "restarted": u("a2", 1, false), "drained": u("a3", 1, true), "replaced": u("a4", 1, false), "reused": u("a5", 1, false), "gone": u("a6", 1, false),
	}
	next := map[string]serving.Upstream{
		"same": u("a1", 1, false), "restarted": u("a2", 2, false), "drained": u("a3", 2, false), "replacement": u("a4", 2, false), "other": other,
	}
	require.ElementsMatch(t, []string{"restarted", "replaced"}, restartedUpstreams(before, next))
}

// An upstream announces in its answers that it is leaving, and exits while the store,
// which has that information too, is unavailable. This must not count as a crash.
func TestPlannedEndOfAnUpstreamBlamesItsRequests(t *testing.T) {
	u := serving.Upstream{ID: "i", Service: "s", Address: "127.0.0.1:1", Zone: "z", StartMillis: 1}
	g := New(platform.Settings{Name: "e", Bounds: bounds()}, slog.New(slog.DiscardHandler))
	g.upstreams.Store(&upstreamList{upstreams: map[string]serving.Upstream{"i": u}})
	g.table.SetUpstreams([]serving.Upstream{u})
	g.table.MarkLeaving(u)
	r := &request{target: "/a/1"}
	r.progress.upstream = u
	g.suspectCrash(r, io.EOF)
	probe, _ := g.suspicions.ConnectionBroken(poison.Crash{Fingerprint: r.fingerprint(), Upstream: "i", At: g.trueTime()})
	require.True(t, probe, "the upstream was not suspected before")
}
