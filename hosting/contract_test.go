package hosting_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/hosting"
	"jaylink/objects"
	standin "jaylink/standin/hosting"
)

// contractCase is one call to the hosting API: the HTTP request, the expected
// response and the error that the client returns. The stand-in server and the
// client are tested against the same table, so that they can't diverge.
type contractCase struct {
	name         string
	method, path string
	header, body string // header is "Name: value"
	status       int
	contains     string // substring of the response body
	call         func(context.Context, *hosting.Client) error
	err          error // nil, a sentinel, or errConflict
}

// errConflict represents any objects.ConflictError in the tables.
var errConflict = &objects.ConflictError{}

var value = map[string]string{"a": "b"}

// contract lists the calls in order. Each depends on the state that the previous
// calls leave.
var contract = []contractCase{
	{"get of a missing object", "GET", "/objects/K/x", "", "", 404, "no such object", get("x"), objects.ErrNotFound},
	{"update of a missing object", "PUT", "/objects/K/x", "If-Match: 7", `{"a":"b"}`, 412, `"version":0`, update("x", 7), errConflict},
	{"delete of a missing object", "DELETE", "/objects/K/x", "If-Match: 7", "", 412, `"version":0`, remove("x", 7), errConflict},
	{"create", "PUT", "/objects/K/x", "If-None-Match: *", `{"a":"b"}`, 200, `"version":1`, create("x"), nil},
	{"create again", "PUT", "/objects/K/x", "If-None-Match: *", `{"a":"b"}`, 412, `"version":1`, create("x"), errConflict},
	{"get", "GET", "/objects/K/x", "", "", 200, `"a":"b"`, get("x"), nil},
	{"update", "PUT", "/objects/K/x", "If-Match: 1", `{"a":"b"}`, 200, `"version":2`, update("x", 1), nil},
	{"stale update", "PUT", "/objects/K/x", "If-Match: 1", `{"a":"b"}`, 412, `"version":2`, update("x", 1), errConflict},
	{"stale delete", "DELETE", "/objects/K/x", "If-Match: 1", "", 412, `"version":2`, remove("x", 1), errConflict},
	{"list", "GET", "/objects/K", "", "", 200, `"revision":2`, list, nil},
	{"watch after an earlier revision", "GET", "/watch?after=1&kind=K&wait=0s", "", "", 200, `"version":2`, watch(1), nil},
	{"watch without a change", "GET", "/watch?after=2&kind=K&wait=0s", "", "", 200, `"items":[]`, watch(2), nil},
	{"delete", "DELETE", "/objects/K/x", "If-Match: 2", "", 200, `"deleted":true`, remove("x", 2), nil},
	{"get of a deleted object", "GET", "/objects/K/x", "", "", 404, "no such object", get("x"), objects.ErrNotFound},
	{"watch of a deletion", "GET", "/watch?after=2&kind=K&wait=0s", "", "", 200, `"deleted":true`, watch(2), nil},
	{"host list", "GET", "/hosts", "", "", 200, `"hosts"`, hosts, nil},
	{"notices", "GET", "/notices?after=0&wait=0s", "", "", 200, `"sequence":0`, notices, nil},
	{"host order", "POST", "/host-orders", "", `{"name":"h","availability_zone":"a","machine_class":"m","on_demand":false}`, 200, `"name":"h"`, order("h"), nil},
	{"weights", "GET", "/weights/m", "", "", 200, `"name":"m"`, weights, nil},
	{"host order again", "POST", "/host-orders", "", `{"name":"h","availability_zone":"a","machine_class":"m","on_demand":false}`, 200, `"name":"h"`, order("h"), nil},
}

func get(name string) func(context.Context, *hosting.Client) error {
	return func(ctx context.Context, c *hosting.Client) error { _, err := c.Get(ctx, "K", name); return err }
}

func create(name string) func(context.Context, *hosting.Client) error {
	return func(ctx context.Context, c *hosting.Client) error {
		_, err := c.Create(ctx, "K", name, value)
		return err
	}
}

func update(name string, version uint64) func(context.Context, *hosting.Client) error {
	return func(ctx context.Context, c *hosting.Client) error {
		_, err := c.Update(ctx, "K", name, version, value)
		return err
	}
}

func remove(name string, version uint64) func(context.Context, *hosting.Client) error {
	return func(ctx context.Context, c *hosting.Client) error {
		_, err := c.Delete(ctx, "K", name, version)
		return err
	}
}

func list(ctx context.Context, c *hosting.Client) error { _, err := c.List(ctx, "K"); return err }

func watch(after uint64) func(context.Context, *hosting.Client) error {
	return func(ctx context.Context, c *hosting.Client) error {
		_, err := c.Watch(ctx, []string{"K"}, after, 0)
		return err
	}
}

func hosts(ctx context.Context, c *hosting.Client) error { _, err := c.Hosts(ctx); return err }

func notices(ctx context.Context, c *hosting.Client) error {
	_, err := c.Notices(ctx, 0, 0)
	return err
}

func order(name string) func(context.Context, *hosting.Client) error {
	return func(ctx context.Context, c *hosting.Client) error {
		_, err := c.OrderHost(ctx, hosting.HostOrder{Name: name, AvailabilityZone: "a", MachineClass: "m"})
		return err
	}
}

func weights(ctx context.Context, c *hosting.Client) error {
	_, err := c.Weights(ctx, "m")
	return err
}

// Hosts and weights that are not available are refused with ErrRefused.
func TestRefusedHostsAndWeights(t *testing.T) {
	s := httptest.NewServer(standin.New())
	defer s.Close()
	body := strings.NewReader(`{"refuse_hosts": true, "refuse_weights": true}`)
	req, err := http.NewRequest(http.MethodPut, s.URL+"/v1/faults", body)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	c := newClient(s)
	require.ErrorIs(t, order("h")(t.Context(), c), objects.ErrRefused)
	require.ErrorIs(t, weights(t.Context(), c), objects.ErrRefused)
}

func requireError(t *testing.T, want, got error) {
	t.Helper()
	switch {
	case want == nil:
		require.NoError(t, got)
	case want == errConflict:
		var conflict *objects.ConflictError
		require.ErrorAs(t, got, &conflict)
	default:
		require.ErrorIs(t, got, want)
	}
}

func newClient(s *httptest.Server) *hosting.Client { return hosting.New(s.Listener.Addr().String()) }

// The stand-in server sends the responses of the contract table.
func TestStandinKeepsTheContract(t *testing.T) {
	s := httptest.NewServer(standin.New())
	defer s.Close()
	for _, c := range contract {
		t.Run(c.name, func(t *testing.T) {
			req, err := http.NewRequest(c.method, s.URL+"/v1"+c.path, strings.NewReader(c.body))
			require.NoError(t, err)
			if name, v, ok := strings.Cut(c.header, ": "); ok {
				req.Header.Set(name, v)
			}
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, c.status, resp.StatusCode, "%s", data)
			require.True(t, json.Valid(data))
			require.Contains(t, string(data), c.contains)
		})
	}
}

// The client sends the requests of the contract table and maps the responses to
// the expected errors.
func TestClientKeepsTheContract(t *testing.T) {
	var seen *http.Request
	var body []byte
	next := standin.New()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r
		body, _ = io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		next.ServeHTTP(w, r)
	}))
	defer s.Close()
	client := newClient(s)
	defer client.Close()
	for _, c := range contract {
		t.Run(c.name, func(t *testing.T) {
			requireError(t, c.err, c.call(t.Context(), client))
			require.Equal(t, c.method, seen.Method)
			require.Equal(t, "/v1"+c.path, seen.URL.RequestURI())
			if name, v, ok := strings.Cut(c.header, ": "); ok {
				require.Equal(t, []string{v}, seen.Header.Values(name))
			}
			if c.body != "" {
				require.JSONEq(t, c.body, string(body))
			}
		})
	}
}

// Every failed or malformed response is mapped to one of the sentinel errors.
func TestClientMapsBrokenAnswers(t *testing.T) {
	cases := []struct {
		name   string
		answer http.HandlerFunc
		err    error
	}{
		{"outage", status(503, `{"error":"outage"}`), objects.ErrUnavailable},
		{"internal error", status(500, "boom"), objects.ErrUnavailable},
		{"bad request", status(400, `{"error":"no"}`), objects.ErrRefused},
		{"too many calls", status(429, `{"error":"slow down"}`), objects.ErrRefused},
		{"not JSON", status(200, "<html>"), objects.ErrUnavailable},
		{"empty", status(200, ""), objects.ErrUnavailable},
		{"conflict without a record", status(412, "gone"), objects.ErrUnavailable},
		{"truncated response", truncated, objects.ErrUnavailable},
		{"connection closed without a response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, objects.ErrUnavailable},
	}
	calls := map[string]func(context.Context, *hosting.Client) error{
		"get": get("x"), "list": list, "create": create("x"), "update": update("x", 1), "delete": remove("x", 1),
		"watch": watch(1), "hosts": hosts, "notices": notices, "order": order("h"), "weights": weights,
	}
	for _, c := range cases {
		s := httptest.NewServer(c.answer)
		for name, call := range calls {
			t.Run(c.name+"/"+name, func(t *testing.T) {
				client := newClient(s)
				defer client.Close()
				requireError(t, c.err, call(t.Context(), client))
			})
		}
		s.Close()
	}
}

func status(code int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}
}

func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"kind":`)
}

// A call to a server that accepts the connection but never responds ends with its
// context.
func TestClientGivesUpWithItsContext(t *testing.T) {
	done := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-done }))
	defer s.Close()
	defer close(done)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	client := newClient(s)
	defer client.Close()
	requireError(t, objects.ErrUnavailable, get("x")(ctx, client))
}

// A write whose response is lost may have taken effect, so it fails with
// ErrUnavailable and not with ErrRefused.
func TestLostAnswerIsNotARefusal(t *testing.T) {
	next := standin.New()
	s := httptest.NewServer(next)
	defer s.Close()
	req := httptest.NewRequest(http.MethodPut, "/v1/faults", strings.NewReader(`{"lose_answers":1}`))
	next.ServeHTTP(httptest.NewRecorder(), req)
	client := newClient(s)
	defer client.Close()
	requireError(t, objects.ErrUnavailable, create("x")(t.Context(), client))
	requireError(t, nil, get("x")(t.Context(), client))
}
