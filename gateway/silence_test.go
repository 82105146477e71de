package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/caller"
	"jaylink/standin/upstream"
)

// silenceCase is a request whose upstream falls silent while no other one can take it.
type silenceCase struct {
	fault upstream.Fault
	call  caller.Call
	body  string
	// setUp changes the deployment before it is configured.
	setUp func(d *deployment)
}

// unnumberedStream returns the body of a stream whose events have no IDs.
func unnumberedStream() string {
	var b strings.Builder
	for n := range upstream.Events {
		b.WriteString(upstream.UnnumberedEvent(n))
	}
	return b.String()
}

// sendAsync sends a request in the background and returns the channel of its answer.
func (e *entry) sendAsync(t *testing.T, c caller.Call) <-chan answer {
	out := make(chan answer, 1)
	go func() { out <- e.send(t, c) }()
	return out
}

// A sound upstream is silent for longer than usual, and no other one can take its request. The
// request must not be given up.
func TestSilentUpstreamIsGivenUpWithoutAnAlternative(t *testing.T) {
	none := func(*deployment) {}
	emptyBudget := func(d *deployment) { d.noRetries = true }
	oneConnection := func(d *deployment) { d.maxConnections = 1 }
	cases := map[string]silenceCase{
		"stream, retry budget empty":  {upstream.Hold, streamCall("stream", "r-1"), completeStream(), emptyBudget},
		"stream, others busy":         {upstream.Hold, streamCall("stream", "r-1"), completeStream(), oneConnection},
		"stream without event IDs":    {upstream.HoldUnnumbered, streamCall("stream", "r-1"), unnumberedStream(), none},
		"no head, retry budget empty": {upstream.HoldHead, plainCall("status", "r-1"), "answer to /status/1?x=1", emptyBudget},
		"no head, others busy":        {upstream.HoldHead, plainCall("status", "r-1"), "answer to /status/1?x=1", oneConnection},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.timeout = time.Minute
			c.setUp(d)
			d.configure()
			service := counterService
			if c.call.Tokens != "" {
				service = engineService
			}
			c.call.Deadline = time.Minute
			servers := []*upstream.Server{d.upstream("i-1", service), d.upstream("i-2", service)}
			for _, s := range servers {
				s.SetFault(c.fault)
			}
			e := d.startEntry("entry-1")
			first := e.sendAsync(t, c.call)
			eventually(t, func() bool { return len(servers[0].Runs())+len(servers[1].Runs()) == 1 })
			other := c.call
			other.ID = "r-2"
			second := e.sendAsync(t, other)
			eventually(t, func() bool { return len(servers[0].Runs())+len(servers[1].Runs()) == 2 })
			silentFor(t, e, c, 2)
			for _, s := range servers {
				s.Release()
			}
			for _, a := range []answer{<-first, <-second} {
				require.NoError(t, a.err)
				require.Equal(t, http.StatusOK, a.status)
				require.Equal(t, c.body, a.body)
			}
			require.Equal(t, 2, len(servers[0].Runs())+len(servers[1].Runs()))
		})
	}
}

// silentFor waits until the entry has looked for an alternative for a number of requests, or
// given one up. Requests that may not go on elsewhere are only waited for.
func silentFor(t *testing.T, e *entry, c silenceCase, requests int64) {
	if c.fault == upstream.HoldUnnumbered {
		time.Sleep(unnumberedSilence)
		return
	}
	eventually(t, func() bool { kept, _, failed := e.Silent(); return kept+failed >= requests })
}

// unnumberedSilence is longer than the silence after which streams are resumed elsewhere.
const unnumberedSilence = time.Second

// Upstreams are busy when one falls silent, and one becomes free later. The request goes on
// there.
func TestSilentUpstreamIsWaitedForAlthoughAnotherBecomesFree(t *testing.T) {
	d := newDeployment(t)
	d.timeout, d.maxConnections = time.Minute, 1
	d.configure()
	servers := []*upstream.Server{d.upstream("i-1", engineService), d.upstream("i-2", engineService)}
	for _, s := range servers {
		s.SetFault(upstream.Hold)
	}
	e := d.startEntry("entry-1")
	calls := []caller.Call{streamCall("stream", "r-1"), streamCall("stream", "r-2")}
	var answers []<-chan answer
	for i, c := range calls {
		c.Deadline = time.Minute
		answers = append(answers, e.sendAsync(t, c))
		eventually(t, func() bool { return len(servers[0].Runs())+len(servers[1].Runs()) == i+1 })
	}
	eventually(t, func() bool { kept, _, _ := e.Silent(); return kept == 2 })
	servers[0].Release()
	for _, a := range answers {
		got := <-a
		require.NoError(t, got.err)
		require.Equal(t, completeStream(), got.body)
	}
	_, moved, _ := e.Silent()
	require.EqualValues(t, 1, moved)
	eventually(t, func() bool { return servers[1].Left() == 1 })
	require.Equal(t, 0, servers[0].Runs()[1].Resumed)
}
