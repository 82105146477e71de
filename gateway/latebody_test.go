package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The body of a request does not come in time, or the request is refused before its body has
// come. The caller is told so without the rest of the body.
func TestRequestWithoutTheRestOfItsBodyGetsNoAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		path   string
		length int
		status int
	}{
		"body too slow":   {"/order/1", 40, http.StatusRequestTimeout},
		"unknown service": {"/nowhere", 40, http.StatusNotFound},
		"body too long":   {"/order/1", 2000, http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			d.upstream("i-1", counterService)
			e := d.startEntry("entry-1")
			c, err := newDialer().Dial("tcp", e.settings.Front)
			require.NoError(t, err)
			t.Cleanup(func() { _ = c.Close() })
			_, err = io.WriteString(c, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: r-1\r\nKey: %s\r\nDeadline-Ms: 500\r\nContent-Length: %d\r\n\r\nbody",
				tc.path, host, key, tc.length))
			require.NoError(t, err)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(waitLimit)))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Equal(t, tc.status, resp.StatusCode)
			require.NoError(t, resp.Body.Close())
		})
	}
}
