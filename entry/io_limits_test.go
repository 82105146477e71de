package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
)

// shortTimeouts makes the entry give up on slow callers soon.
func shortTimeouts(s *Settings) {
	s.Timeouts.Body, s.Timeouts.Write = api.Duration(50*time.Millisecond), api.Duration(50*time.Millisecond)
}

// A body that stays incomplete is refused once the setting timeouts.body has
// passed, and nothing runs.
func TestBodyThatNeverEndsIsRefused(t *testing.T) {
	f := newFixture(t, shortTimeouts)
	cases := []struct{ name, address, text string }{
		{"caller", f.settings.Listen.Caller, "POST /bookings HTTP/1.1\r\nHost: x\r\nJaylink-Label-App: desk\r\nJaylink-Label-Account: c\r\n"},
		{"operator", f.settings.Listen.Operator, "POST /v1/apply HTTP/1.1\r\nHost: x\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", c.address)
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, c.text+"Content-Length: 10\r\n\r\nhalf")
			require.NoError(t, err)
			answer, err := io.ReadAll(conn)
			require.NoError(t, err)
			require.True(t, strings.HasPrefix(string(answer), "HTTP/1.1 408 "), "%s", answer)
		})
	}
	requireNothingRan(t, f)
}

// A caller that does not read its answer must not delay a graceful shutdown:
// the blocked write ends after the setting timeouts.write.
func TestCallerThatDoesNotReadHoldsUpNoStop(t *testing.T) {
	const size = 32 << 20 // exceeds the socket buffers
	big := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}))
	defer big.Close()
	f := newFixture(t, shortTimeouts, func(s *Settings) { s.Limits.Answer = 2 * size })
	f.apply(t, fmt.Sprintf("kind: Service\nname: big\nspec: {selector: app=big, protocol: http, upstreams: pool=big}\n---\n"+
		"kind: Upstream\nname: big-1\nlabels: {pool: big}\nspec: {address: %q, protocol: http, availability_zone: a, region: r}\n", big.Listener.Addr()))
	conn, err := net.Dial("tcp", f.settings.Listen.Caller)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /big HTTP/1.1\r\nHost: x\r\nJaylink-Label-App: big\r\nJaylink-Label-Account: c\r\n\r\n")
	require.NoError(t, err)
	// The first byte shows that the answer is being written.
	_, err = conn.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, f.Stop(context.Background()))
	require.NotContains(t, f.log.String(), "caller connections closed by force")
}
