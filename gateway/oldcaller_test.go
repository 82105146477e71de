package gateway_test

import (
	"bytes"
	"io"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
)

// A caller speaks HTTP/1.0, in which a stream ends with its connection. It must see that a stream
// was broken off.
func TestBrokenStreamSeemsWholeToHTTP10Callers(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	up := d.upstream("i-1", engineService)
	e := d.startEntry("entry-1")
	for _, kind := range []upstream.Fault{upstream.Sound, upstream.CutInEvent} {
		up.SetFault(kind)
		c, err := newDialer().Dial("tcp", e.settings.Front)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		req, err := streamCall("once", "r").Request(t.Context(), e.settings.Front)
		require.NoError(t, err)
		var sent bytes.Buffer
		require.NoError(t, req.Write(&sent))
		_, err = io.WriteString(c, strings.Replace(sent.String(), "HTTP/1.1", "HTTP/1.0", 1))
		require.NoError(t, err)
		data, err := io.ReadAll(c)
		if kind == upstream.Sound {
			require.NoError(t, err)
			_, body, _ := strings.Cut(string(data), "\r\n\r\n")
			require.Equal(t, completeStream(), body)
			continue
		}
		require.ErrorIs(t, err, syscall.ECONNRESET, "seems whole: %s", data)
	}
}
