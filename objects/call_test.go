package objects_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/objects"
)

// currentOf reads a record as the tests' server spells it.
func currentOf(body []byte) (objects.Record, error) {
	var rec objects.Record
	err := json.Unmarshal(body, &rec)
	return rec, err
}

func TestStatusesAndErrors(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		want   error
	}{
		"done":                    {200, `{"name":"a"}`, nil},
		"no such object":          {404, ``, objects.ErrNotFound},
		"history is gone":         {410, ``, objects.ErrCompacted},
		"too many calls":          {429, ``, objects.ErrRefused},
		"down":                    {503, ``, objects.ErrUnavailable},
		"an answer that is torn":  {200, `{"name":`, objects.ErrUnavailable},
		"a conflict that is torn": {409, `{"name":`, objects.ErrUnavailable},
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
			err := objects.Call{Step: "get", Method: http.MethodGet, URL: s.URL, Conflict: currentOf}.Do(t.Context(), s.Client(), &out)
			require.ErrorIs(t, err, c.want)
		})
	}
}

func TestConflictsNameWhatIsThere(t *testing.T) {
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
		call.Conflict = currentOf
		require.ErrorAs(t, call.Do(t.Context(), s.Client(), nil), &conflict)
		require.Equal(t, uint64(7), conflict.Current.Version)
	}
}

func TestNobodyAnswers(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	err := objects.Call{Step: "get", Method: http.MethodGet, URL: s.URL}.Do(t.Context(), http.DefaultClient, nil)
	require.ErrorIs(t, err, objects.ErrUnavailable)
}
