package entry

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/internal/procs"
)

const bigObjects = `
kind: Service
name: big
spec: {selector: app=big, protocol: http, upstreams: pool=big, timeout: 10s}
---
kind: Upstream
name: big-1
labels: {pool: big}
spec: {address: "%s", protocol: http, availability_zone: a, region: r}
`

// A caller that sends its request and reads nothing must block neither the
// upstream, nor other callers, nor a shutdown.
func TestSlowCallerHoldsNobodyUp(t *testing.T) {
	const size = 8 << 20 // exceeds the socket buffers
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), size))
	}))
	defer upstream.Close()
	f := newFixture(t)
	f.apply(t, fmt.Sprintf(bigObjects, upstream.Listener.Addr()))
	conn, err := net.Dial("tcp", f.settings.Listen.Caller)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /big HTTP/1.1\r\nHost: x\r\n"+appBig+"\r\n"+accountC+"\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, procs.Await("the slow caller's answer", func() bool {
		return f.metrics.answered.Count() == 1
	}))
	n, _ := f.records.inFlight()
	require.Zero(t, n)
	a := sendTo(t, "GET", "http://"+f.settings.Listen.Caller+"/big", "", appBig, accountC)
	require.Equal(t, http.StatusOK, a.StatusCode)
	require.Len(t, a.body, size)
}

const appBig = "Jaylink-Label-App: big"
