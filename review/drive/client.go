package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"jaylink/standin/caller"
)

// outcome is what a client has received.
type outcome struct {
	id     string
	sentAt time.Time
	status int
	// sealed is set if the answer has the seal by which a runner confirms that it is its own.
	sealed bool
	body   []byte
	// err is set if there is no answer, or if it is incomplete.
	err error
}

var nextID atomic.Int64

// newID returns a request ID that was not used before.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2000000+nextID.Add(1)) }

// call sends one request and reads its answer. Tokens and prefix describe the prompt; they are
// empty if there is none.
func call(client *http.Client, front, method, target, id, body string, deadline time.Duration, tokens, prefix string) outcome {
	// The client reads on for a while after its time budget, to see a late answer.
	ctx, cancel := context.WithTimeout(context.Background(), deadline+3*time.Second)
	defer cancel()
	out := outcome{id: id, sentAt: time.Now()}
	req, err := caller.Call{
		Method: method, Target: target, Host: host, ID: id, Key: key, Body: body, Deadline: deadline, Tokens: tokens, Prefix: prefix,
	}.Request(ctx, front)
	must(err)
	resp, err := client.Do(req)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.status = resp.StatusCode
	_, out.sealed = caller.Answered(resp.Header)
	out.body, out.err = io.ReadAll(resp.Body)
	return out
}

// newClient returns a client with channels of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}
}
