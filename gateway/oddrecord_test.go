package gateway_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/platform"
)

// placeholder stands for a value that the stand-in store can't encode.
const placeholder = `"placeholder"`

// replaceInAnswers wraps a store so that its answers have value in place of placeholder.
func replaceInAnswers(next http.Handler, value string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		next.ServeHTTP(rec, r)
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(rec.Code)
		// The client notices a failed write itself.
		_, _ = w.Write(bytes.ReplaceAll(rec.Body.Bytes(), []byte(placeholder), []byte(value)))
	})
}

// Another program writes an odd record among those of the upstreams or the entries. Entries must
// go on following the list, and use no upstream that the record names.
func TestOddRecordStopsTheList(t *testing.T) {
	deep := strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000)
	record := func(field string) string {
		return `{"service":"counter","address":"127.0.0.1:80","zone":"zone-a","state":"ready","born":1,` + field + `}`
	}
	for name, odd := range map[string]string{
		"nested deeply":      record(`"x":` + deep),
		"nested more deeply": record(`"x":` + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)),
		"number too large":   record(`"slots":1` + strings.Repeat("0", 500)),
		"port out of range":  record(`"address":"127.0.0.1:99999"`),
		"negative port":      record(`"address":"127.0.0.1:-7"`),
		"long name":          record(`"zone":"` + strings.Repeat("z", 500_000) + `"`),
		"not JSON":           `{"service":}`,
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			d.storeHTTP = httptest.NewServer(replaceInAnswers(d.store, odd))
			t.Cleanup(d.storeHTTP.Close)
			leaving := d.upstream("i-1", counterService)
			for _, kind := range []string{platform.KindUpstreams, platform.KindEntries, platform.KindUsage} {
				d.store.PutRaw(kind, "odd", placeholder)
			}
			entries := []*entry{d.startEntry("entry-1"), d.startEntry("entry-2")}
			for _, e := range entries {
				eventually(t, func() bool { return e.HeardPeers() == 1 })
			}
			next := d.upstream("i-2", counterService)
			d.listUpstream(leaving, "zone-a", counterService, "draining")
			for _, e := range entries {
				d.requireSentTo(e, next)
			}
			for _, e := range entries {
				require.True(t, strings.Contains(e.metricsPage(t), "jaylink_upstream_known 2\n"), "the odd record names no upstream")
			}
		})
	}
}
