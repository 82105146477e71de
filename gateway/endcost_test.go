//go:build bench

package gateway_test

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/caller"
	"jaylink/standin/metastore"
)

// TestFigureEndOfAnswer measures how long callers wait for answers that have a length or chunks,
// and for those that end with their connection.
func TestFigureEndOfAnswer(t *testing.T) {
	const requests = 1000
	for name, tc := range map[string]struct {
		service string
		call    func(id string) caller.Call
	}{
		"plain":  {counterService, func(id string) caller.Call { return plainCall("order", id) }},
		"stream": {engineService, func(id string) caller.Call { return streamCall("once", id) }},
	} {
		for _, undelimited := range []bool{false, true} {
			d := &deployment{t: t, store: metastore.New(), version: 3, keys: []string{key}}
			d.storeHTTP = httptest.NewServer(d.store)
			t.Cleanup(d.storeHTTP.Close)
			d.configure()
			s := d.upstream("i-1", tc.service)
			s.Undelimited = undelimited
			e := d.startEntry("entry-1")
			var times []time.Duration
			for n := range requests {
				began := time.Now()
				a := e.send(t, tc.call(fmt.Sprintf("r-%d", n)))
				times = append(times, time.Since(began))
				require.NoError(t, a.err)
				require.Equal(t, 200, a.status)
			}
			slices.Sort(times)
			t.Logf("%s, undelimited %t: median %s, p99 %s", name, undelimited, times[requests/2], times[requests*99/100])
		}
	}
}
