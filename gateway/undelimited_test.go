package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/caller"
	"jaylink/standin/upstream"
)

// An answer may have neither a length nor chunks and end with its connection. The caller
// must get all of it, and must see that it is incomplete if the upstream broke it off: in
// the middle of an event, or by crashing.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	for name, tc := range map[string]struct {
		fault upstream.Fault
		call  caller.Call
		whole bool
		// runs is the number of upstreams that run the request.
		runs int
	}{
		"plain":                                  {upstream.Sound, plainCall("order", "r-1"), true, 1},
		"stream":                                 {upstream.Sound, streamCall("stream", "r-1"), true, 1},
		"stream that may not be resumed":         {upstream.Sound, streamCall("once", "r-1"), true, 1},
		"cut in an event":                        {upstream.CutInEvent, streamCall("stream", "r-1"), true, 2},
		"cut in an event, may not be resumed":    {upstream.CutInEvent, streamCall("once", "r-1"), false, 1},
		"crash between events":                   {upstream.CrashInStream, streamCall("stream", "r-1"), true, 2},
		"crash between events, may not go on":    {upstream.CrashInStream, streamCall("once", "r-1"), false, 1},
		"closed before the first event":          {upstream.CloseAfterHead, streamCall("stream", "r-1"), true, 2},
		"closed before the first event, no more": {upstream.CloseAfterHead, streamCall("once", "r-1"), false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			service := engineService
			if tc.call.Tokens == "" {
				service = counterService
			}
			bad, good := d.upstream("i-bad", service), d.upstreamIn("zone-b", "i-good", service)
			bad.Undelimited, good.Undelimited, bad.Down = true, true, time.Second
			bad.SetFault(tc.fault)
			a := d.startEntry("entry-1").send(t, tc.call)
			require.Equal(t, tc.runs, len(bad.Runs())+len(good.Runs()))
			if !tc.whole {
				require.True(t, a.err != nil || a.status == http.StatusBadGateway, "status %d", a.status)
				return
			}
			require.NoError(t, a.err)
			if service == engineService {
				require.Equal(t, completeStream(), a.body)
			} else {
				require.Equal(t, "answer to "+tc.call.Target, a.body)
			}
		})
	}
}

// An upstream that is leaving exits while it writes a stream without a length, or right after
// the last event. The caller must get the whole stream, or see that it is incomplete.
func TestStreamEndsAsCompleteWhenItsLeavingUpstreamExits(t *testing.T) {
	for name, tc := range map[string]struct {
		fault upstream.Fault
		route string
		whole bool
	}{
		"between events":                  {upstream.CrashInStream, "stream", true},
		"between events, may not go on":   {upstream.CrashInStream, "once", false},
		"after the last event":            {upstream.CrashAfterStream, "stream", true},
		"after the last, may not go on":   {upstream.CrashAfterStream, "once", false},
		"before the first event":          {upstream.CloseAfterHead, "stream", true},
		"stays, complete, may not go on":  {upstream.Sound, "once", true},
		"stays, complete, may be resumed": {upstream.Sound, "stream", true},
	} {
		for _, state := range []string{"draining", "gone"} {
			t.Run(name+", "+state, func(t *testing.T) {
				d := newDeployment(t)
				d.configure()
				leaving := d.upstream("i-leaving", engineService)
				leaving.Undelimited, leaving.Pace, leaving.Down = true, 600*time.Millisecond, time.Minute
				// Only an answer with a length or chunks can show that nothing is missing.
				d.upstreamIn("zone-b", "i-good", engineService).Undelimited = tc.fault != upstream.CrashAfterStream
				leaving.SetFault(tc.fault)
				e := d.startEntry("entry-1")
				got := make(chan answer, 1)
				go func() { got <- e.send(t, streamCall(tc.route, "r-1")) }()
				eventually(t, func() bool { return len(leaving.Runs()) == 1 })
				if state == "gone" {
					d.store.Delete("servers", "i-leaving")
				} else {
					d.listUpstream(leaving, "zone-a", engineService, state)
				}
				a := <-got
				if !tc.whole {
					require.Error(t, a.err)
					return
				}
				require.NoError(t, a.err)
				require.Equal(t, completeStream(), a.body)
			})
		}
	}
}

// A stream breaks off, and the upstream at which it is resumed closes the connection before the
// first event, though events are missing.
func TestResumedStreamWithoutAnEventEndsAsComplete(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	bad, faulty := d.upstream("i-bad", engineService), d.upstreamIn("zone-b", "i-faulty", engineService)
	bad.SetFault(upstream.CutInEvent)
	faulty.Undelimited = true
	faulty.SetFault(upstream.CloseAfterHead)
	a := d.startEntry("entry-1").send(t, streamCall("stream", "r-1"))
	require.Error(t, a.err)
	require.Equal(t, upstream.Event(0)+upstream.Event(1), a.body)
}
