package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// proxyReplies are answers of a proxy whose upstream is gone, in its own name.
var proxyReplies = map[string]string{
	"502":                  "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 3\r\nConnection: close\r\n\r\nbad",
	"503":                  "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
	"200":                  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}",
	"200 without a length": "HTTP/1.0 200 OK\r\n\r\nmaintenance",
}

// The process of an upstream is killed while it writes an answer that ends with its connection,
// and the proxy before it answers in its own name from then on.
func TestProxyThatAnswersItselfConfirmsTheAnswerOfAKilledUpstream(t *testing.T) {
	for name, tc := range endCases {
		for kind, reply := range proxyReplies {
			t.Run(name+", "+kind, func(t *testing.T) {
				d := newDeployment(t)
				d.confirmsSoon = true
				d.configure()
				bad, f := d.killedUpstream(tc.service, tc.crash)
				f.answerWith(reply)
				if tc.goesOn {
					d.upstreamIn("zone-b", "i-good", tc.service)
				}
				a := d.startEntry("entry-1").send(t, tc.call)
				require.Len(t, bad.Runs(), 1)
				if !tc.goesOn {
					requireBrokenOff(t, a)
					return
				}
				require.NoError(t, a.err)
				require.Equal(t, http.StatusOK, a.status)
				require.Equal(t, wholeBody(tc.call), a.body)
			})
		}
	}
}

// The same while another process is registered at the address, under an ID of its own, before the
// end of the answer is noticed.
func TestUpstreamThatTakesOverTheAddressConfirmsTheAnswerBefore(t *testing.T) {
	for name, tc := range endCases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			bad, f := d.killedUpstream(tc.service, tc.crash)
			next := startRestarted(t, "i-next")
			bad.Crashed = func() {
				f.forwardTo(next.Address())
				d.store.DeleteUpstream("i-bad")
				d.store.PutUpstreamProcess("i-next", tc.service, f.address(), "zone-a", "ready", time.Now().UnixMilli())
			}
			if tc.goesOn {
				d.upstreamIn("zone-b", "i-good", tc.service)
			}
			a := d.startEntry("entry-1").send(t, tc.call)
			require.Len(t, bad.Runs(), 1)
			if !tc.goesOn {
				require.Empty(t, next.Runs())
				requireBrokenOff(t, a)
				return
			}
			require.NoError(t, a.err)
			require.Equal(t, http.StatusOK, a.status)
			require.Equal(t, wholeBody(tc.call), a.body, fmt.Sprintf("ran %d times at the next one", len(next.Runs())))
		})
	}
}
