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
