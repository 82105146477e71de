package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/internal/procs"
	"jaylink/operator"
	"jaylink/standin/engine"
	"jaylink/standin/hosting"
	"jaylink/standin/service"
)

// fixture is an entry inside the test process, with simulated upstreams and a
// simulated platform on loopback addresses.
type fixture struct {
	*Entry
	log      *logBuffer
	trace    *logBuffer
	service  *httptest.Server
	engine   *httptest.Server
	platform *httptest.Server
}

type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// Close implements io.Closer, so that a buffer can replace a trace file.
func (l *logBuffer) Close() error { return nil }

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

const fixtureObjects = `
kind: Service
name: desk
spec: {selector: app=desk, protocol: http, upstreams: pool=desk, timeout: 10s}
---
kind: Service
name: captions
spec: {selector: app=captions, protocol: completions, upstreams: pool=captions, timeout: 10s}
---
kind: Customer
name: c
spec: {selector: account=c}
---
kind: Customer
name: d
spec: {selector: account=d}
---
kind: Policy
name: lookups
spec: {selector: method=GET, idempotent: true}
---
kind: Policy
name: captions
spec: {selector: service=captions, idempotent: true}
---
kind: Policy
name: once
spec: {selector: once=yes, priority: 1, max_attempts: 1}
---
kind: Upstream
name: desk-1
labels: {pool: desk}
spec: {address: "%s", protocol: http, availability_zone: a, region: r}
---
kind: Upstream
name: captions-1
labels: {pool: captions}
spec: {address: "%s", protocol: completions, availability_zone: a, region: r}
`

func newFixture(t *testing.T, changes ...func(*Settings)) *fixture {
	t.Helper()
	f := &fixture{
		log:      &logBuffer{},
		trace:    &logBuffer{},
		service:  httptest.NewServer(service.New()),
		engine:   httptest.NewServer(engine.New(engine.Options{Slots: 8, QueueLength: 8, PrefixTokens: 64})),
		platform: httptest.NewServer(hosting.New()),
	}
	s := DefaultSettings()
	s.Name, s.AvailabilityZone, s.Region = "one", "a", "r"
	s.Listen = ListenSettings{Caller: procs.Address(), Operator: procs.Address(), Peer: procs.Address()}
	s.Platform = f.platform.Listener.Addr().String()
	s.Limits.Header, s.Limits.Body, s.Limits.OperatorBody = 4<<10, 8<<10, 64<<10
	s.Drain.LeaveDelay = 0
	for _, change := range changes {
		change(&s)
	}
	s.PeerTLS.Plaintext = true
	e, err := New(s, slog.New(slog.NewJSONHandler(f.log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	require.NoError(t, err)
	f.Entry = e
	require.NoError(t, e.RecordTrace(f.trace))
	require.NoError(t, e.Start(t.Context()))
	t.Cleanup(func() {
		require.NoError(t, e.Stop(context.Background()))
		f.platform.CloseClientConnections()
		f.service.Close()
		f.engine.Close()
		f.platform.Close()
	})
	f.apply(t, fmt.Sprintf(fixtureObjects, f.service.Listener.Addr(), f.engine.Listener.Addr()))
	require.NoError(t, procs.AwaitHTTP("http://"+s.Listen.Caller+"/healthz/ready"))
	return f
}

func (f *fixture) client() *operator.Client { return operator.NewClient(f.settings.Listen.Operator) }

func (f *fixture) apply(t *testing.T, text string) {
	t.Helper()
	sources, err := api.DecodeYAML("test.yaml", []byte(text))
	require.NoError(t, err)
	req := operator.ApplyRequest{Objects: api.Objects(sources)}
	client := f.client()
	client.Token = ashaToken
	reply, err := client.Apply(t.Context(), req)
	require.NoError(t, err)
	for _, res := range reply.Results {
		require.Equal(t, operator.StatusAccepted, res.Status, "%+v", res)
	}
}

// answer is an HTTP response whose body has been read.
type answer struct {
	*http.Response
	body string
}

// sendTo sends one request. Headers have the form "Name: value" and may be
// repeated.
func sendTo(t *testing.T, method, url, body string, headers ...string) answer {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Add(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return answer{resp, string(data)}
}
