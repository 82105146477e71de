package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/caller"
	"jaylink/standin/upstream"
)

// endCases are the routes and what becomes of a request whose answer's end is not confirmed.
var endCases = map[string]struct {
	call    caller.Call
	crash   upstream.Fault
	goesOn  bool
	service string
}{
	"stream":                         {streamCall("stream", "r-1"), upstream.CrashInStream, true, engineService},
	"stream that may not be resumed": {streamCall("once", "r-1"), upstream.CrashInStream, false, engineService},
	"idempotent":                     {plainCall("status", "r-1"), upstream.CrashInAnswer, true, counterService},
	"may run once":                   {plainCall("order", "r-1"), upstream.CrashInAnswer, false, counterService},
}

// wholeBody returns the whole body of the answer to a call.
func wholeBody(c caller.Call) string {
	if c.Tokens != "" {
		return completeStream()
	}
	return "answer to " + c.Target
}

// listForwarded lists an upstream in the store under the address of its forwarder.
func (d *deployment) listForwarded(s *upstream.Server, f *forwarder, service string) {
	d.store.PutUpstream(s.ID, service, f.address(), "zone-a", "ready")
}

// killedUpstream lists an upstream behind a forwarder. It dies for long in its first answer, which
// ends with its connection.
func (d *deployment) killedUpstream(service string, crash upstream.Fault) (*upstream.Server, *forwarder) {
	s, err := upstream.Start("i-bad", "127.0.0.1")
	require.NoError(d.t, err)
	d.t.Cleanup(s.Close)
	f := newForwarder(d.t, s.Address())
	s.Undelimited, s.Down = true, time.Minute
	s.SetFault(crash)
	d.listForwarded(s, f, service)
	return s, f
}

// requireBrokenOff requires that a caller can see that its answer is incomplete.
func requireBrokenOff(t *testing.T, a answer) {
	t.Helper()
	require.True(t, a.err != nil || a.status == http.StatusBadGateway, "status %d, body %q", a.status, a.body)
}

// The process of an upstream is killed while it writes an answer that ends with its connection.
// What it was reached through goes on listening. The caller must get the whole answer or see
// that it is incomplete.
func TestKilledUpstreamBehindAForwarderLeavesWholeAnswers(t *testing.T) {
	for name, tc := range endCases {
		for after, prepare := range map[string]func(*testing.T, *forwarder, *upstream.Server){
			"connections are closed":     func(*testing.T, *forwarder, *upstream.Server) {},
			"connections stay silent":    func(_ *testing.T, f *forwarder, _ *upstream.Server) { f.fallSilent() },
			"another upstream is behind": forwardToAnother,
		} {
			t.Run(name+", "+after, func(t *testing.T) {
				d := newDeployment(t)
				d.confirmsSoon = true
				d.configure()
				bad, f := d.killedUpstream(tc.service, tc.crash)
				prepare(t, f, bad)
				good := d.upstreamIn("zone-b", "i-good", tc.service)
				a := d.startEntry("entry-1").send(t, tc.call)
				require.Len(t, bad.Runs(), 1)
				if !tc.goesOn {
					require.Empty(t, good.Runs())
					requireBrokenOff(t, a)
					return
				}
				require.Len(t, good.Runs(), 1)
				require.NoError(t, a.err)
				require.Equal(t, http.StatusOK, a.status)
				require.Equal(t, wholeBody(tc.call), a.body)
			})
		}
	}
}

// forwardToAnother makes an upstream with another ID take over the address at the crash.
func forwardToAnother(t *testing.T, f *forwarder, bad *upstream.Server) {
	next := startRestarted(t, "i-next")
	bad.Crashed = func() { f.forwardTo(next.Address()) }
}

// startRestarted starts an upstream and restarts it, so that it states another start time than
// one that was not.
func startRestarted(t *testing.T, id string) *upstream.Server {
	t.Helper()
	s, err := upstream.Start(id, "127.0.0.1")
	require.NoError(t, err)
	t.Cleanup(s.Close)
	s.RenewsStart = true
	restarted := make(chan struct{})
	s.Restarted = func() { close(restarted) }
	s.Crash()
	<-restarted
	return s
}

// An answer that ends with its connection is whole if its process answers for itself.
func TestSoundAnswersWithoutALengthAreBrokenOff(t *testing.T) {
	for name, tc := range endCases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			s, err := upstream.Start("i-1", "127.0.0.1")
			require.NoError(t, err)
			t.Cleanup(s.Close)
			s.Undelimited = true
			d.listForwarded(s, newForwarder(t, s.Address()), tc.service)
			a := d.startEntry("entry-1").send(t, tc.call)
			require.NoError(t, a.err)
			require.Equal(t, http.StatusOK, a.status)
			require.Equal(t, wholeBody(tc.call), a.body)
			require.Len(t, s.Runs(), 1)
			require.Len(t, s.Arrivals(), 1, "a probe is no request")
		})
	}
}

// The process of a model engine is killed and started again under its ID at once.
func TestRestartedUpstreamConfirmsTheAnswerOfTheProcessBefore(t *testing.T) {
	for _, route := range []string{"stream", "once"} {
		t.Run(route, func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			bad, err := upstream.Start("i-bad", "127.0.0.1")
			require.NoError(t, err)
			t.Cleanup(bad.Close)
			f := newForwarder(t, bad.Address())
			next := startRestarted(t, "i-bad")
			bad.Crashed = func() { f.forwardTo(next.Address()) }
			bad.Undelimited, bad.Down = true, time.Minute
			bad.SetFault(upstream.CrashInStream)
			d.listForwarded(bad, f, engineService)
			d.upstreamIn("zone-b", "i-good", engineService)
			a := d.startEntry("entry-1").send(t, streamCall(route, "r-1"))
			require.Empty(t, next.Runs())
			if route == "once" {
				require.Error(t, a.err)
				return
			}
			require.NoError(t, a.err)
			require.Equal(t, completeStream(), a.body)
		})
	}
}
