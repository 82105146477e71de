package objects_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/objects"
)

// decodeRecord decodes a record in the format of the test server.
func decodeRecord(body []byte) (objects.Record, error) {
	var rec objects.Record
	err := json.Unmarshal(body, &rec)
	return rec, err
}

func TestStatusCodesMapToErrors(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		want   error
	}{
		"success":            {200, `{"name":"a"}`, nil},
		"not found":          {404, ``, objects.ErrNotFound},
		"revision compacted": {410, ``, objects.ErrCompacted},
		"rate limited":       {429, ``, objects.ErrRefused},
		"server error":       {503, ``, objects.ErrUnavailable},
		"truncated response": {200, `{"name":`, objects.ErrUnavailable},
		"truncated conflict": {409, `{"name":`, objects.ErrUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, err := w.Write([]byte(c.body))
				require.NoError(t, err)
			}))
			defer s.Close()
			var out objects.Record
			err := objects.Call{Step: "get", Method: http.MethodGet, URL: s.URL, Conflict: decodeRecord}.Do(t.Context(), s.Client(), &out)
			require.ErrorIs(t, err, c.want)
		})
	}
}

func TestConflictErrorCarriesCurrentRecord(t *testing.T) {
	for _, status := range []int{http.StatusConflict, http.StatusPreconditionFailed} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			require.Equal(t, "application/json", r.Header.Get("Content-Type"))
			w.WriteHeader(status)
			_, err := w.Write([]byte(`{"kind":"K","name":"a","version":7}`))
			require.NoError(t, err)
		}))
		defer s.Close()
		call := objects.Call{Step: "replace", Method: http.MethodPut, URL: s.URL, Body: map[string]int{"a": 1}}
		var conflict *objects.ConflictError
		require.ErrorAs(t, call.Do(t.Context(), s.Client(), nil), &conflict)
		require.Zero(t, conflict.Current.Version)
		call.Conflict = decodeRecord
		require.ErrorAs(t, call.Do(t.Context(), s.Client(), nil), &conflict)
		require.Equal(t, uint64(7), conflict.Current.Version)
	}
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	err := objects.Call{Step: "get", Method: http.MethodGet, URL: s.URL}.Do(t.Context(), http.DefaultClient, nil)
	require.ErrorIs(t, err, objects.ErrUnavailable)
}
