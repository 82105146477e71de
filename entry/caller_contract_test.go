package entry

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/reason"
	"jaylink/standin/engine"
	"jaylink/standin/service"
	"jaylink/upstream"
)

const (
	appDesk     = "Jaylink-Label-App: desk"
	appCaptions = "Jaylink-Label-App: captions"
	accountC    = "Jaylink-Label-Account: c"
)

// badRequestCase is an invalid request to the caller port and the refusal that
// is expected.
type badRequestCase struct {
	name, method, path, body string
	headers                  []string
	status                   int
	reason                   reason.Reason
}

// ran returns the expected value of "ran": unknown for a request ID that no
// entry knows, because such a request may have run elsewhere, and otherwise no.
func (c badRequestCase) ran() reason.Ran {
	if c.reason == reason.UnknownRequest && strings.HasPrefix(c.path, "/v1/requests/") {
		return reason.RanUnknown
	}
	return reason.RanNo
}

var badRequestCases = []badRequestCase{
	{"unknown service", "GET", "/orders/1", "", []string{accountC}, 404, reason.UnknownService},
	{"unknown customer", "GET", "/orders/1", "", []string{appDesk}, 403, reason.UnknownCustomer},
	{"body too large", "POST", "/bookings", strings.Repeat("x", 9<<10), []string{appDesk, accountC}, 413, reason.BodyTooLarge},
	{"header too large", "GET", "/orders/1", "", []string{appDesk, accountC, "X-Long: " + strings.Repeat("x", 5<<10)}, 431, reason.HeaderTooLarge},
	{"target too large", "GET", "/orders/" + strings.Repeat("1", 5<<10), "", []string{appDesk, accountC}, 431, reason.HeaderTooLarge},
	{"completion is not JSON", "POST", "/v1/completions", "{", []string{appCaptions, accountC}, 400, reason.BadRequest},
	{"completion is null", "POST", "/v1/completions", "null", []string{appCaptions, accountC}, 400, reason.BadRequest},
	{"completion is a list", "POST", "/v1/completions", "[1]", []string{appCaptions, accountC}, 400, reason.BadRequest},
	{"completion is empty", "POST", "/v1/completions", "", []string{appCaptions, accountC}, 400, reason.BadRequest},
	{"prompt of a wrong type", "POST", "/v1/completions", `{"prompt": 1}`, []string{appCaptions, accountC}, 400, reason.BadRequest},
	{"max_tokens is zero", "POST", "/v1/completions", `{"max_tokens": 0}`, []string{appCaptions, accountC}, 400, reason.BadRequest},
	{"completions service called on another path", "POST", "/other", "x", []string{appCaptions, accountC}, 400, reason.BadRequest},
	{"wrong method on completions", "GET", "/v1/completions", "", []string{appCaptions, accountC}, 400, reason.BadRequest},
	{"label with a space", "GET", "/orders/1", "", []string{"Jaylink-Label-App: a b", accountC}, 400, reason.BadRequest},
	{"label too long", "GET", "/orders/1", "", []string{"Jaylink-Label-App: " + strings.Repeat("x", 300), accountC}, 400, reason.BadRequest},
	{"label without a key", "GET", "/orders/1", "", []string{"Jaylink-Label-: x", appDesk, accountC}, 400, reason.BadRequest},
	{"label sent twice", "GET", "/orders/1", "", []string{appDesk, accountC, accountC}, 400, reason.BadRequest},
	{"reserved request label", "GET", "/orders/1", "", []string{"Jaylink-Label-Method: POST", appDesk, accountC}, 400, reason.BadRequest},
	{"reserved credential label", "GET", "/orders/1", "", []string{"Jaylink-Label-Credential: 00", appDesk, accountC}, 400, reason.BadRequest},
	{"reserved service label", "GET", "/orders/1", "", []string{"Jaylink-Label-Service.tier: gold", appDesk, accountC}, 400, reason.BadRequest},
	{"two idempotency keys", "POST", "/bookings", "x", []string{"Idempotency-Key: 1", "Idempotency-Key: 2", appDesk, accountC}, 400, reason.BadRequest},
	{"empty idempotency key", "POST", "/bookings", "x", []string{"Idempotency-Key: ", appDesk, accountC}, 400, reason.BadRequest},
	{"idempotency key too long", "POST", "/bookings", "x", []string{"Idempotency-Key: " + strings.Repeat("k", 300), appDesk, accountC}, 400, reason.BadRequest},
	{"two credentials", "GET", "/orders/1", "", []string{"Authorization: Bearer a", "Authorization: Bearer b", appDesk, accountC}, 400, reason.BadRequest},
	{"malformed request ID", "GET", "/v1/requests/xyz", "", []string{accountC}, 400, reason.BadRequest},
	{"request ID of an unknown entry", "GET", "/v1/requests/00112233445566778899aabbccddeeff.two", "", []string{accountC}, 404, reason.UnknownRequest},
	{"wrong method on a request", "DELETE", "/v1/requests/xyz", "", []string{accountC}, 405, reason.WrongMethod},
	{"wrong method on health", "POST", "/healthz/live", "", nil, 405, reason.WrongMethod},
	{"unknown health path", "GET", "/healthz/x", "", nil, 404, reason.UnknownRequest},
}

// Every invalid request gets a problem body that states the reason and that
// nothing ran. None reaches an upstream.
func TestCallerPortRefusesBadInput(t *testing.T) {
	f := newFixture(t)
	url := "http://" + f.settings.Listen.Caller
	for _, c := range badRequestCases {
		t.Run(c.name, func(t *testing.T) {
			a := sendTo(t, c.method, url+c.path, c.body, c.headers...)
			require.Equal(t, c.status, a.StatusCode, a.body)
			require.Equal(t, "application/problem+json", a.Header.Get("Content-Type"))
			require.NotEmpty(t, a.Header.Get(HeaderRequestID))
			var p Problem
			require.NoError(t, json.Unmarshal([]byte(a.body), &p))
			require.Equal(t, c.reason, p.Reason)
			require.Equal(t, c.status, p.Status)
			require.Equal(t, c.ran(), p.Ran)
		})
	}
	requireNothingRan(t, f)
	a := sendTo(t, "GET", url+"/orders/1", "", appDesk, accountC)
	require.Equal(t, 200, a.StatusCode, "the entry must still serve requests: %s", a.body)
}

func requireNothingRan(t *testing.T, f *fixture) {
	t.Helper()
	var served []service.Run
	require.NoError(t, json.Unmarshal([]byte(sendTo(t, "GET", f.service.URL+"/runs", "").body), &served))
	require.Empty(t, served)
	var generated []engine.Run
	require.NoError(t, json.Unmarshal([]byte(sendTo(t, "GET", f.engine.URL+"/runs", "").body), &generated))
	require.Empty(t, generated)
}

// Input that is not HTTP, or that is ambiguous HTTP, is refused by the HTTP
// server itself and reaches no upstream.
func TestCallerPortRefusesWhatIsNotHTTP(t *testing.T) {
	f := newFixture(t)
	cases := []struct{ name, text, status string }{
		{"not HTTP", "\x16\x03\x01\r\n\r\n", "400"},
		{"two content lengths", "POST /bookings HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "400"},
		{"negative content length", "POST /bookings HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n", "400"},
		{"no host", "GET /orders/1 HTTP/1.1\r\n\r\n", "400"},
		{"target is not a path", "CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", "400"},
		{"malformed chunk size", "POST /bookings HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
		{"header far over the limit", "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 80<<10) + "\r\n\r\n", "431"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp := sendRaw(t, f, c.text)
			require.Equal(t, c.status, resp.Status[:3])
		})
	}
	requireNothingRan(t, f)
}

// sendRaw writes text, closes the sending side of the connection and reads the
// response.
func sendRaw(t *testing.T, f *fixture, text string) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", f.settings.Listen.Caller)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, text)
	_ = conn.(*net.TCPConn).CloseWrite()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	return resp
}

// A caller that closes its sending side after the request still gets its
// answer, although the HTTP server then ends the request's context.
func TestHalfClosedCallerGetsItsAnswer(t *testing.T) {
	f := newFixture(t)
	labels := "Host: x\r\nJaylink-Label-Account: c\r\n"
	cases := []struct{ name, text, want string }{
		{"plain service", "GET /orders/7 HTTP/1.1\r\n" + labels + "Jaylink-Label-App: desk\r\n\r\n", `"id":"7"`},
		{"completion", completionText(labels, `{"prompt":"p","max_tokens":5}`), `"finish_reason":"length"`},
		{"stream", completionText(labels, `{"prompt":"p","max_tokens":5,"stream":true}`), upstream.StreamEnd},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp := sendRaw(t, f, c.text)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, 200, resp.StatusCode, "%s", body)
			require.Contains(t, string(body), c.want)
		})
	}
}

func completionText(labels, body string) string {
	return "POST /v1/completions HTTP/1.1\r\n" + labels + "Jaylink-Label-App: captions\r\nTransfer-Encoding: chunked\r\n\r\n" +
		chunked(body)
}

func chunked(body string) string {
	var b strings.Builder
	w := httputil.NewChunkedWriter(&b)
	_, _ = io.WriteString(w, body)
	_ = w.Close()
	return b.String() + "\r\n"
}

// A request whose body is truncated is refused and does not run.
func TestBrokenBodyRunsNothing(t *testing.T) {
	f := newFixture(t)
	resp := sendRaw(t, f, "POST /bookings HTTP/1.1\r\nHost: x\r\nJaylink-Label-App: desk\r\nJaylink-Label-Account: c\r\nContent-Length: 10\r\n\r\nhalf")
	require.Equal(t, 400, resp.StatusCode)
	requireNothingRan(t, f)
}

// A service that does not use the completions protocol may have its own
// /v1/completions path.
func TestPlainServiceReceivesCompletionsPath(t *testing.T) {
	f := newFixture(t)
	a := sendTo(t, "POST", "http://"+f.settings.Listen.Caller+"/v1/completions", `{"stream":true}`, appDesk, accountC)
	require.Equal(t, 404, a.StatusCode, "the response must come from the service")
}

func TestHealthAnswersAreSeparate(t *testing.T) {
	f := newFixture(t)
	url := "http://" + f.settings.Listen.Caller + "/healthz/"
	check := func(live, ready, leaving int) {
		t.Helper()
		require.Equal(t, live, sendTo(t, "GET", url+"live", "").StatusCode)
		require.Equal(t, ready, sendTo(t, "GET", url+"ready", "").StatusCode)
		require.Equal(t, leaving, sendTo(t, "GET", url+"leaving", "").StatusCode)
	}
	check(200, 200, 404)
	f.leaving.Store(true)
	check(200, 503, 200)
}

// A request that an engine rejects as invalid is refused at once. It is not
// retried on other upstreams and marks none of them as suspect.
func TestRequestThatAnEngineRejectsIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t)
	calls := 0
	strict := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/completions" {
			calls++
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	defer strict.Close()
	f.apply(t, "kind: Service\nname: strict\nspec: {selector: app=strict, protocol: completions, upstreams: pool=strict}\n---\n"+
		"kind: Upstream\nname: strict-1\nlabels: {pool: strict}\nspec: {address: \""+strict.Listener.Addr().String()+
		"\", protocol: completions, availability_zone: a, region: r}\n---\n"+
		"kind: Policy\nname: strict\nspec: {selector: service=strict, idempotent: true, priority: 2}\n")
	a := sendTo(t, "POST", "http://"+f.settings.Listen.Caller+"/v1/completions", `{"prompt":"p"}`, "Jaylink-Label-App: strict", accountC)
	require.Equal(t, 400, a.StatusCode)
	require.Contains(t, a.body, `"ran":"no"`)
	require.Equal(t, 1, calls)
	for _, u := range f.driver.upstreamStatus(time.Now()) {
		require.False(t, u.Suspect, u.Name)
	}
}
