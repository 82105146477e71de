package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"jaylink/standin/caller"
	"jaylink/standin/upstream"
)

// callTimeout is how long a caller waits.
const callTimeout = 4 * time.Second

// verdict is what a caller saw of one request.
type verdict struct {
	id, route, entry string
	status           int
	// whole says that the answer ended as complete.
	whole bool
	// fault says what was wrong with it, if anything.
	fault string
	begun time.Time
	ended time.Time
}

// promisesUnrun reports whether the status says that the request has not run.
func (v verdict) promisesUnrun() bool {
	return v.status == http.StatusTooManyRequests || v.status == http.StatusServiceUnavailable
}

// client keeps sending requests over connections that it holds open.
type client struct {
	fleet    *fleet
	name     string
	rng      *rand.Rand
	http     *http.Client
	mu       *sync.Mutex
	verdicts *[]verdict
}

var routes = []string{"stream", "stream", "once", "order", "order", "status"}

func (c *client) run(ctx context.Context, pause time.Duration) {
	defer c.http.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		e := c.fleet.entries[c.rng.IntN(len(c.fleet.entries))]
		v := c.call(ctx, e, routes[c.rng.IntN(len(routes))], fmt.Sprintf("%s-%d", c.name, n), c.fleet.key())
		c.mu.Lock()
		*c.verdicts = append(*c.verdicts, v)
		c.mu.Unlock()
		time.Sleep(time.Duration(c.rng.Int64N(int64(2*pause) + 1)))
	}
}

// call sends one request and checks its answer.
func (c *client) call(ctx context.Context, e *entry, route, id, key string) verdict {
	return c.callWith(ctx, e, route, id, key, id, "prompt of "+id)
}

// callWith is call for a subject, which ends the path, and a body of their own.
func (c *client) callWith(ctx context.Context, e *entry, route, id, key, subject, body string) verdict {
	v := verdict{id: id, route: route, entry: e.name, begun: time.Now()}
	defer func() { v.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call := caller.Call{
		Method: http.MethodPost, Target: "/" + route + "/" + subject, Host: host, ID: id, Key: key, Body: body,
		Deadline: callTimeout,
	}
	if route == "status" {
		call.Method = http.MethodGet
	}
	streams := route == "stream" || route == "once"
	if streams {
		call.Tokens = "500,100"
		call.Prefix = fmt.Sprintf("%x:300,%x:200", c.rng.IntN(5)+1, c.rng.Uint64())
	}
	req, err := call.Request(ctx, e.front())
	if err != nil {
		v.fault = err.Error()
		return v
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return v
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	v.status, v.whole = resp.StatusCode, err == nil
	v.fault = checkAnswer(resp, string(answer), v, call.Target, streams)
	return v
}

// checkAnswer says what is wrong with an answer as the caller has it.
func checkAnswer(resp *http.Response, body string, v verdict, path string, streams bool) string {
	id, proven := caller.Answered(resp.Header)
	if id != v.id {
		return fmt.Sprintf("answer of request %q", id)
	}
	if v.status != http.StatusOK {
		return ""
	}
	if !proven {
		return "success without a proof"
	}
	want := "answer to " + path
	if streams {
		want = wholeStream
	}
	switch {
	case v.whole && body != want:
		return fmt.Sprintf("complete answer of %d bytes is not whole or not its own", len(body))
	case !strings.HasPrefix(want, body):
		return "part of an answer is not its own, or an event is missing or twice"
	}
	return ""
}

// wholeStream is the body of a stream that misses nothing.
var wholeStream = func() string {
	var b strings.Builder
	for n := range upstream.Events {
		b.WriteString(upstream.Event(n))
	}
	return b.String()
}()
