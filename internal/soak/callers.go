package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jaylink/standin/caller"
)

// callTimeout is the deadline of a caller's request.
const callTimeout = 4 * time.Second

// observation is what a caller saw of one request.
type observation struct {
	id, route, entry string
	// target and body are what was sent.
	target, body string
	status       int
	// complete is set if the answer was read to its end without an error.
	complete bool
	// problem describes what was wrong with the answer; "" if nothing was.
	problem string
	// stream is what the caller received of a stream that was answered with a success.
	stream  string
	started time.Time
	// sent is when the request had been written, or the zero value.
	sent  time.Time
	ended time.Time
	// gaveUp is set if the caller ended the request because the run was over or it left.
	gaveUp bool
	// kept is set if the connection had carried another request before.
	kept bool
}

// reportsNotRun reports whether the status says that the request has not run.
func (v observation) reportsNotRun() bool {
	switch v.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// client sends requests in a loop over persistent connections.
type client struct {
	fleet *fleet
	name  string
	// part is a shared part of all prompts that the client sends, or "".
	part         string
	rng          *rand.Rand
	http         *http.Client
	mu           *sync.Mutex
	observations *[]observation
}

var routes = []string{"stream", "stream", "once", "order", "order", "status"}

func (c *client) run(ctx context.Context, pause time.Duration) {
	defer c.http.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		e := c.fleet.entries[c.rng.IntN(len(c.fleet.entries))]
		v := c.call(ctx, e, routes[c.rng.IntN(len(routes))], fmt.Sprintf("%s-%d", c.name, n), c.fleet.key())
		c.mu.Lock()
		*c.observations = append(*c.observations, v)
		c.mu.Unlock()
		time.Sleep(time.Duration(c.rng.Int64N(int64(2*pause) + 1)))
	}
}

// call sends one request and checks its answer.
func (c *client) call(ctx context.Context, e *entry, route, id, key string) observation {
	return c.callWith(ctx, e, route, id, key, id, "prompt of "+id)
}

// callWith is like call but sets the last path element (subject) and the body.
func (c *client) callWith(ctx context.Context, e *entry, route, id, key, subject, body string) (v observation) {
	v = observation{id: id, route: route, entry: e.name, started: time.Now()}
	c.fleet.recordSender(id, e)
	run := ctx
	defer func() { v.ended, v.gaveUp = time.Now(), run.Err() != nil }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call := c.compose(route, id, key, subject, body)
	v.target, v.body = call.Target, call.Body
	var sent atomic.Int64
	req, err := call.Request(traceSent(ctx, &sent, &v.kept), e.callerAddress())
	if err != nil {
		v.problem = err.Error()
		return v
	}
	// The HTTP client must not send a request twice by itself.
	req.GetBody = nil
	defer func() {
		if at := sent.Load(); at != 0 {
			v.sent = time.Unix(0, at)
		}
	}()
	resp, err := c.http.Do(req)
	if err != nil {
		return v
	}
	defer resp.Body.Close()
	v.read(resp, call.Target)
	return v
}

// compose returns the call of a request on a route.
func (c *client) compose(route, id, key, subject, body string) caller.Call {
	call := caller.Call{
		Method: http.MethodPost, Target: "/" + route + "/" + subject, Host: host, ID: id, Key: key, Body: body,
		Deadline: callTimeout,
	}
	if route == "status" {
		call.Method = http.MethodGet
	}
	if streams(route) {
		call.Tokens = "500,100"
		call.Prefix = fmt.Sprintf("%x:300,", c.rng.IntN(5)+1)
		if c.part != "" {
			call.Prefix += c.part + ":100,"
		}
		call.Prefix += fmt.Sprintf("%x:200", c.rng.Uint64())
	}
	return call
}

// streams reports whether a route answers with streams.
func streams(route string) bool { return route == "stream" || route == "once" }

// read reads an answer to its end and notes what was wrong with it.
func (v *observation) read(resp *http.Response, target string) {
	answer, err := io.ReadAll(resp.Body)
	v.status, v.complete = resp.StatusCode, err == nil
	if streams(v.route) && v.status == http.StatusOK {
		v.stream = string(answer)
	}
	v.problem = checkAnswer(resp, string(answer), *v, target)
}

// traceSent records when a request has been written whole, and whether its connection had carried
// another one before.
func traceSent(ctx context.Context, sent *atomic.Int64, kept *bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { *kept = info.Reused },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				sent.Store(time.Now().UnixNano())
			}
		},
	})
}

// checkAnswer returns what is wrong with an answer as the caller received it, or "".
func checkAnswer(resp *http.Response, body string, v observation, path string) string {
	id, proven := caller.Answered(resp.Header)
	if id != v.id {
		return fmt.Sprintf("answer of request %q", id)
	}
	if v.status != http.StatusOK {
		return ""
	}
	if !proven {
		return "success without a response seal"
	}
	if streams(v.route) {
		// checkOrder checks the events.
		return ""
	}
	want := "answer to " + path
	switch {
	case v.complete && body != want:
		return fmt.Sprintf("complete answer of %d bytes is truncated or belongs to another request", len(body))
	case !strings.HasPrefix(want, body):
		return "partial answer belongs to another request"
	}
	return ""
}
