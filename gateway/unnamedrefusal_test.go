package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/platform"
	"jaylink/standin/upstream"
)

// promisesNotRun reports whether a status tells callers that their request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// A faulty upstream writes refusals that name no request and belong to none. Work that may run
// once must not run at a second upstream, and its caller must not be told that it has not run.
func TestRefusalThatBelongsToNobodyIsBelieved(t *testing.T) {
	for name, fault := range map[string]upstream.Fault{
		"on an idle connection": upstream.ExtraRefusal, "after the next request was read": upstream.LateRefusal,
	} {
		for _, route := range []string{"order", "once"} {
			t.Run(name+", "+route, func(t *testing.T) {
				d := newDeployment(t)
				d.configure()
				call, service := plainCall, counterService
				if route == "once" {
					call, service = streamCall, engineService
				}
				servers := []*upstream.Server{d.upstream("i-1", service), d.upstream("i-2", service)}
				for _, s := range servers {
					s.SetFault(fault)
				}
				e := d.startEntry("entry-1")
				status := map[string]int{}
				for i := range 60 {
					id := fmt.Sprint("r-", i)
					status[id] = e.send(t, call(route, id)).status
				}
				runs := map[string]int{}
				for _, s := range servers {
					for _, run := range s.Runs() {
						runs[run.RequestID]++
					}
				}
				require.NotEmpty(t, runs)
				for id, n := range runs {
					require.LessOrEqual(t, n, 1, "%s was answered %d", id, status[id])
					require.False(t, promisesNotRun(status[id]), "%s ran and was answered %d", id, status[id])
				}
			})
		}
	}
}

// A success, or an interim response, does not refuse anything, whatever its headers say.
func TestPromiseInASuccessIsBelieved(t *testing.T) {
	for _, status := range []int{101, 103, 200, 204, 304} {
		require.False(t, platform.DecodeAnswer(status, http.Header{"Not-Executed": {"1"}}).NotRun, status)
	}
	for _, status := range []int{400, 408, 429, 500, 503} {
		require.True(t, platform.DecodeAnswer(status, http.Header{"Not-Executed": {"1"}}).NotRun, status)
		require.False(t, platform.DecodeAnswer(status, http.Header{}).NotRun, status)
	}
	require.True(t, platform.DecodeAnswer(http.StatusMisdirectedRequest, http.Header{}).NotRun)
}
