package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
)

// Answers to requests without an ID can't be told from each other. An extra answer, or a refusal
// that belongs to nobody, must not be taken for that of the next such request on the connection.
func TestRequestsWithoutAnIDShareAConnection(t *testing.T) {
	for name, fault := range map[string]upstream.Fault{"extra answer": upstream.Extra, "late refusal": upstream.LateRefusal} {
		for _, route := range []string{"order", "status"} {
			t.Run(name+", "+route, func(t *testing.T) {
				d := newDeployment(t)
				d.configure()
				server := d.upstream("i-1", counterService)
				e := d.startEntry("entry-1")
				server.SetFault(fault)
				for i := range 20 {
					c := plainCall(route, "")
					c.Target = fmt.Sprintf("/%s/%d", route, i)
					a := e.send(t, c)
					require.NoError(t, a.err)
					require.Equal(t, http.StatusOK, a.status)
					require.Equal(t, "answer to "+c.Target, a.body)
				}
				require.Len(t, server.Runs(), 20)
			})
		}
	}
}
