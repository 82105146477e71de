package answer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// heads returns an answer of every kind.
func heads() []Head {
	var list []Head
	for _, status := range []int{101, 200, 201, 204, 206, 299, 302, 304, 400, 404, 408, 410, 421, 429, 500, 501, 502, 503, 504} {
		for bits := range 16 {
			list = append(list, Head{Status: status, NotRun: bits&1 != 0, Sealed: bits&2 != 0, Encoded: bits&4 != 0, EventStream: bits&8 != 0})
		}
	}
	return list
}

// A caller that has the head of a stream would take an answer to a resumption that is not that
// stream for its end.
func TestOnlyTheSameStreamFollowsWhatTheCallerHas(t *testing.T) {
	for _, h := range heads() {
		for _, given := range []int{200, 201, 404} {
			use := Decide(h, Given{Status: given})
			continues := !h.NotRun && h.EventStream && h.Sealed && !h.Encoded && h.Status == given && given < 300
			require.Equal(t, continues, use == Stream, "%+v after %d", h, given)
			require.NotContains(t, []Use{Deliver, Keep}, use, "%+v after %d", h, given)
		}
	}
}

// Callers take a success for the upstream's own whole answer.
func TestSuccessWithoutASealOrEncodedReachesNoCaller(t *testing.T) {
	for _, h := range heads() {
		use := Decide(h, Given{})
		isSuccess := h.Status >= 200 && h.Status < 300
		if isSuccess && !h.NotRun {
			require.Equal(t, !h.Sealed || h.Encoded, use == Reject, "%+v", h)
		}
		require.NotEqual(t, Relay, use, "%+v", h)
	}
}

// An answer that is too long to buffer is relayed only if its seal shows whose it is and no
// other upstream may answer in its place.
func TestLongAnswers(t *testing.T) {
	for _, tc := range []struct {
		head     Head
		mayRetry bool
		use      Use
	}{
		{Head{Status: 200, Sealed: true}, true, Relay},
		{Head{Status: 200, Sealed: true}, false, Relay},
		{Head{Status: 404, Sealed: true}, true, Relay},
		{Head{Status: 404}, false, Reject},
		{Head{Status: 302}, true, Reject},
		{Head{Status: 500, Sealed: true}, false, Relay},
		{Head{Status: 500, Sealed: true}, true, Fail},
		{Head{Status: 500}, false, Fail},
	} {
		require.Equal(t, tc.use, DecideLong(tc.head, Decide(tc.head, Given{}), tc.mayRetry), "%+v, may retry %t", tc.head, tc.mayRetry)
	}
}

func TestAnswersByKind(t *testing.T) {
	for _, tc := range []struct {
		head Head
		use  Use
	}{
		{Head{Status: 200, Sealed: true}, Deliver},
		{Head{Status: 206, Sealed: true}, Deliver},
		{Head{Status: 200, Sealed: true, EventStream: true}, Stream},
		{Head{Status: 200, EventStream: true}, Reject},
		{Head{Status: 200}, Reject},
		{Head{Status: 206, Sealed: true, Encoded: true}, Reject},
		{Head{Status: 200, Sealed: true, Encoded: true, EventStream: true}, Reject},
		{Head{Status: 302, Sealed: true}, Deliver},
		{Head{Status: 404}, Deliver},
		{Head{Status: 404, Sealed: true, EventStream: true}, Deliver},
		{Head{Status: 500, Sealed: true}, Keep},
		{Head{Status: 504}, Keep},
		{Head{Status: 503, Sealed: true}, Fail},
		{Head{Status: 429}, Fail},
		{Head{Status: 503, NotRun: true}, Decline},
		{Head{Status: 421, NotRun: true}, Decline},
		{Head{Status: 101, Sealed: true}, Reject},
	} {
		require.Equal(t, tc.use, Decide(tc.head, Given{}), fmt.Sprintf("%+v", tc.head))
	}
}
