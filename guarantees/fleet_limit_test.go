package guarantees

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
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

// An entry uses what the others leave of a fleet limit: both requests of a
// customer with a limit of two run on one of two entries, and a third is refused.
func TestEntryUsesWhatOthersLeaveOfAFleetLimit(t *testing.T) {
	f := testfleet.New(t)
	f.Upstream("engine", "caption-lm", "e1", "a", "r", "--token-interval=1s")
	e := f.StartEntry("one", "a", "r", "")
	f.StartEntry("two", "a", "r", "")
	f.Ready()
	f.Apply(e, limitedObjects)
	inFlight := func() int {
		s, err := e.Client().Status(t.Context())
		if err != nil {
			return 0
		}
		return s.InFlight
	}
	refused := make(chan int, 1)
	send := func() {
		// The answer takes longer than the test; only a refusal comes back.
		go func() {
			if _, status := caption(t, e, "દીપ", 1000); status == http.StatusTooManyRequests {
				refused <- status
			}
		}()
	}
	send()
	require.NoError(t, procs.Await("the first request", func() bool { return inFlight() == 1 }))
	send()
	require.NoError(t, procs.Await("the second request", func() bool {
		select {
		case <-refused:
			// The other entry has not been heard of yet.
			send()
		default:
		}
		return inFlight() == 2
	}))
	send()
	require.Equal(t, http.StatusTooManyRequests, <-refused)
	require.Equal(t, 2, inFlight())
}
