package gateway_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/platform"
)

// Entries that start together are missing from each other's stale lists: here the stale
// list has only the first of three entries. They must find each other all the same.
func TestEntriesThatStartTogetherDiscoverEachOther(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	d.upstream("i-1", counterService)
	d.storeHTTP = httptest.NewServer(staleEntries(t, d.store, "entry-1"))
	t.Cleanup(d.storeHTTP.Close)
	entries := []*entry{d.startEntry("entry-1"), d.startEntry("entry-2"), d.startEntry("entry-3")}
	for _, e := range entries {
		eventually(t, func() bool { return e.Peers() == len(entries)-1 })
	}
}

// staleEntries wraps a store so that stale lists contain only the entry named known.
func staleEntries(t *testing.T, next http.Handler, known string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("allow-stale") == "" {
			next.ServeHTTP(w, r)
			return
		}
		rec := httptest.NewRecorder()
		next.ServeHTTP(rec, r)
		var list struct {
			Entries []struct {
				Metadata struct {
					Name string `json:"name"`
				} `json:"metadata"`
				Spec json.RawMessage `json:"spec"`
			} `json:"entries"`
			At uint64 `json:"at"`
		}
		require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &list))
		require.Contains(t, r.URL.Path, platform.KindEntries)
		for i := range list.Entries {
			if list.Entries[i].Metadata.Name == known {
				list.Entries = list.Entries[i : i+1]
				break
			}
		}
		require.NoError(t, json.NewEncoder(w).Encode(list))
	})
}
