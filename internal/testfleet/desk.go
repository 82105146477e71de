package testfleet

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/reason"
	"jaylink/internal/procs"
	"jaylink/standin/service"
	"jaylink/upstream"
)

// DeskObjects describe the plain service "desk" whose upstreams have the label
// pool=desk, and the customer "c". Lookups (GET) are idempotent.
const DeskObjects = `
kind: Service
name: desk
spec: {selector: app=desk, protocol: http, upstreams: pool=desk, timeout: 30s}
---
kind: Customer
name: c
spec: {selector: account=c}
---
kind: Policy
name: lookups
spec: {selector: method=GET, idempotent: true}
`

// callTimeout bounds one call of a test. It is far above the time of a run without
// faults.
const callTimeout = time.Minute

// Response is an entry's answer to a call.
type Response struct {
	Status     int
	Body       string
	RequestID  string
	RetryAfter string
	Reason     reason.Reason `json:"reason"`
	Ran        reason.Ran    `json:"ran"`
	// Err is set if the connection failed before the answer was complete.
	Err error
}

// Book sends a booking with an idempotency key, which may be "".
func (e *Entry) Book(key, body string) Response {
	return e.Call(http.MethodPost, "/bookings", "desk", key, body)
}

// Call sends a call of the customer "c" to an app, with an idempotency key unless it
// is "".
func (e *Entry) Call(method, path, app, key, body string) Response {
	req, err := http.NewRequest(method, e.URL(path), strings.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	req.Header.Set("Jaylink-Label-App", app)
	req.Header.Set("Jaylink-Label-Account", "c")
	if key != "" {
		req.Header.Set(upstream.HeaderIdempotencyKey, key)
	}
	// Uses a new connection: on a reused one, net/http may retry a call that has an
	// idempotency key.
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return Response{Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := Response{
		Status: resp.StatusCode, Body: string(data), Err: err,
		RequestID: resp.Header.Get("Jaylink-Request-Id"), RetryAfter: resp.Header.Get("Retry-After"),
	}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		_ = json.Unmarshal(data, &r) // a malformed problem leaves Reason empty
	}
	return r
}

// SetServiceFaults sets the faults of a service.
func (f *Fleet) SetServiceFaults(name string, faults service.Faults) {
	f.t.Helper()
	f.Put("http://"+f.Nodes[name].Address+"/faults", faults)
}

// ServiceRuns returns the runs that the named services recorded.
func (f *Fleet) ServiceRuns(names ...string) []service.Run {
	f.t.Helper()
	var all []service.Run
	for _, name := range names {
		var runs []service.Run
		f.Read("http://"+f.Nodes[name].Address+"/runs", &runs)
		all = append(all, runs...)
	}
	return all
}

// AwaitRunning waits until a service is running n calls.
func (f *Fleet) AwaitRunning(name string, n int) {
	f.t.Helper()
	require.NoError(f.t, procs.Await("calls at "+name, func() bool {
		var load upstream.LoadReport
		f.Read("http://"+f.Nodes[name].Address+"/load", &load)
		return load.Running == n
	}))
}

// AwaitHeld waits until the platform is holding n calls because of a fault.
func (f *Fleet) AwaitHeld(n int) {
	f.t.Helper()
	require.NoError(f.t, procs.Await("calls held by the platform", func() bool {
		var held int
		f.Read("http://"+f.Platform+"/v1/held", &held)
		return held == n
	}))
}
