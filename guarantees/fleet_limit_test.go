package guarantees

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	"jaylink/standin/engine"
)

const limitedObjects = `
kind: Service
name: caption-lm
spec: {selector: app=captions, protocol: completions, upstreams: pool=caption-lm, class: patient}
---
kind: Customer
name: desai
spec: {selector: account=desai, max_in_flight: 2}
`

// An entry may use the part of a fleet-wide limit that the other entries leave
// unused: both requests of a customer with a limit of two run through one of two
// entries, and a third is refused.
func TestEntryUsesWhatOthersLeaveOfAFleetLimit(t *testing.T) {
	f := testfleet.New(t)
	n := f.Upstream("engine", "caption-lm", "e1", "a", "r", "--token-interval=1s")
	e := f.StartEntry("one", "a", "r", "")
	f.StartEntry("two", "a", "r", "")
	f.Ready()
	f.Apply(e, limitedObjects)
	running := func() int {
		var runs []engine.Run
		f.Read("http://"+n.Address+"/runs", &runs)
		return len(runs)
	}
	refused := make(chan int, 1)
	send := func() {
		// The answer takes longer than the test, so only a refusal returns in time.
		go func() {
			if _, status := sendCaption(t, e, "દીપ", 1000); status == http.StatusTooManyRequests {
				refused <- status
			}
		}()
	}
	send()
	require.NoError(t, procs.Await("the first request", func() bool { return running() == 1 }))
	send()
	require.NoError(t, procs.Await("the second request", func() bool {
		select {
		case <-refused:
			// The entry has not received the other entry's usage yet.
			send()
		default:
		}
		return running() == 2
	}))
	send()
	require.Equal(t, http.StatusTooManyRequests, <-refused)
	require.Equal(t, 2, running())
}
